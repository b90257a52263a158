/**
 * A ledger of non-repeatable calls with client sessions, for comparison with
 * the production ledger, which keeps a record for each key.
 *
 * Each sidecar incarnation is a client with a session and numbers its commands.
 * The state machine keeps each result until the client acknowledges the result.
 * A retry may come through another sidecar, which is another client, so the
 * records by key remain; they hold session and sequence number in place of
 * server, incarnation and attempt.
 */

/** A claim in the log. */
export interface SessionClaim {
  readonly session: number;
  readonly sequence: number;
  /** The client has acknowledged all results below this number. */
  readonly lowest: number;
  readonly workspace: string;
  readonly key: string;
  readonly digest: string;
}

/** The result of a claimed call, in the log. */
export interface SessionRecord {
  readonly session: number;
  readonly sequence: number;
  readonly lowest: number;
  /** Sequence number of the claim. */
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

/** Keys and sessions, reduced to what is measured: nothing expires. */
export class SessionLedger {
  readonly #entries = new Map<string, SessionEntry>();
  readonly #sessions = new Map<number, Session>();

  /**
   * @param claim the claim
   * @param timeMs replicated time
   * @returns the result; for a duplicate command, that of the first
   */
  claim(claim: SessionClaim, timeMs: number): SessionResult {
    return this.#once(claim, () => this.#decide(claim, timeMs));
  }

  /**
   * @param record the result of a call
   * @param timeMs replicated time
   * @returns the result; for a duplicate command, that of the first
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
