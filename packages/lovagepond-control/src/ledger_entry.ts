/**
 * The ledger's entry for one claimed key, and its encoding in a snapshot.
 */

/** State of a claimed key. */
export const ENTRY_STATE = {
  /** Granted to one attempt, which may have dispatched the call already. */
  OPEN: 'open',
  /** The call ran; its answer is stored, has expired or was too large. */
  RECORDED: 'recorded',
  /** The call may have been dispatched; its outcome can't be determined. */
  UNKNOWN: 'unknown',
} as const;

export type EntryState = (typeof ENTRY_STATE)[keyof typeof ENTRY_STATE];

/** The sidecar incarnation that holds a claim; its claims share one object. */
export interface ClaimOwner {
  readonly server: string;
  readonly incarnation: string;
}

/** The ledger's entry for one claimed key. */
export interface LedgerEntry {
  /** Digest of the request body, base64. */
  readonly digest: string;
  readonly owner: ClaimOwner;
  readonly attempt: string;
  readonly state: EntryState;
  /** Replicated time of the claim, or of the last change of state. */
  readonly sinceMs: number;
  readonly status: number;
  /** Answer body, base64; undefined when none is stored. */
  readonly answer: string | undefined;
  readonly contentType: string;
}

/** An entry in a snapshot; an array, as names would repeat in each entry. */
type EntryRow = readonly [
  key: string,
  digest: string,
  server: string,
  incarnation: string,
  attempt: string,
  state: EntryState,
  sinceMs: number,
  status: number,
  contentType: string,
  answer?: string,
];

/**
 * @param key the entry's key
 * @param entry the entry
 * @returns the entry as JSON
 */
export function encodeEntry(key: string, entry: LedgerEntry): string {
  const {server, incarnation} = entry.owner;
  const row: EntryRow = [
    key,
    entry.digest,
    server,
    incarnation,
    entry.attempt,
    entry.state,
    entry.sinceMs,
    entry.status,
    entry.contentType,
  ];
  const {answer} = entry;
  return JSON.stringify(answer === undefined ? row : [...row, answer]);
}

/**
 * @param row a parsed row
 * @param shareOwner returns the shared object of an owner
 * @returns the key and the entry
 */
export function readEntry(
  row: unknown,
  shareOwner: (server: string, incarnation: string) => ClaimOwner,
): readonly [string, LedgerEntry] {
  const fields = row as EntryRow;
  const owner = shareOwner(fields[2], fields[3]);
  const entry: LedgerEntry = {
    digest: fields[1],
    owner,
    attempt: fields[4],
    state: fields[5],
    sinceMs: fields[6],
    status: fields[7],
    answer: fields[9],
    contentType: fields[8],
  };
  return [fields[0], entry];
}
