/**
 * The ledger of calls that may not be repeated with client sessions, to be
 * measured against the one in use, which keeps a record for each key.
 *
 * A sidecar incarnation is a client with a session and numbers its commands;
 * the state machine keeps the result of each until the client acknowledges it.
 * A repeat may come through another sidecar, which is another client, so the
 * record by key stays; it names session and number instead of server,
 * incarnation and attempt.
 */

/** A claim as it stands in the log. */
export interface SessionClaim {
  readonly session: number;
  readonly sequence: number;
  /** All results below this number may be dropped. */
  readonly lowest: number;
  readonly workspace: string;
  readonly key: string;
  readonly digest: string;
}

/** What became of a claimed call, as it stands in the log. */
export interface SessionRecord {
  readonly session: number;
  readonly sequence: number;
  readonly lowest: number;
  /** Number of the claim that it ends. */
  readonly claim: number;
  readonly workspace: string;
  readonly key: string;
  readonly status: number;
  readonly answer: string;
  readonly contentType: string;
}

interface SessionEntry {
  readonly digest: string;
  readonly session: number;
  readonly claim: number;
  readonly sinceMs: number;
  readonly open: boolean;
  readonly status: number;
  readonly answer?: string;
  readonly contentType: string;
}

type SessionResult = 'granted' | 'inProgress' | 'keyReuse' | 'recorded';

interface Session {
  lowest: number;
  readonly results: Map<number, SessionResult>;
}

/** Keys and sessions. Only what a measure needs: nothing expires. */
export class SessionLedger {
  readonly #entries = new Map<string, SessionEntry>();
  readonly #sessions = new Map<number, Session>();

  /**
   * @param claim the claim
   * @param timeMs replicated time
   * @returns the result, the first one for a command that comes again
   */
  claim(claim: SessionClaim, timeMs: number): SessionResult {
    return this.#once(claim, () => this.#decide(claim, timeMs));
  }

  /**
   * @param record what became of a call
   * @param timeMs replicated time
   * @returns the result, the first one for a command that comes again
   */
  record(record: SessionRecord, timeMs: number): SessionResult {
    return this.#once(record, () => {
      const key = JSON.stringify([record.workspace, record.key]);
      const entry = this.#entries.get(key);
      if (entry?.session !== record.session) return 'keyReuse';
      if (entry.claim !== record.claim) return 'keyReuse';
      const {status, answer, contentType} = record;
      this.#entries.set(key, {
        ...entry,
        open: false,
        sinceMs: timeMs,
        status,
        answer,
        contentType,
      });
      return 'recorded';
    });
  }

  #decide(claim: SessionClaim, timeMs: number): SessionResult {
    const key = JSON.stringify([claim.workspace, claim.key]);
    const entry = this.#entries.get(key);
    if (entry) {
      if (entry.digest !== claim.digest) return 'keyReuse';
      return entry.open ? 'inProgress' : 'recorded';
    }
    this.#entries.set(key, {
      digest: claim.digest,
      session: claim.session,
      claim: claim.sequence,
      sinceMs: timeMs,
      open: true,
      status: 0,
      contentType: '',
    });
    return 'granted';
  }

  #once(
    command: {session: number; sequence: number; lowest: number},
    run: () => SessionResult,
  ): SessionResult {
    const session = this.#sessions.get(command.session) ?? {
      lowest: 0,
      results: new Map<number, SessionResult>(),
    };
    this.#sessions.set(command.session, session);
    for (; session.lowest < command.lowest; session.lowest += 1) {
      session.results.delete(session.lowest);
    }
    const former = session.results.get(command.sequence);
    if (former) return former;
    const result = run();
    session.results.set(command.sequence, result);
    return result;
  }
}
