/**
 * The sessions of a sidecar by attempt, and how long each is kept.
 */
import {type SidecarSession} from './sidecar_session.js';

/** Settings of {@link SidecarSessions}. */
export interface SessionsSettings {
  readonly heartbeatIntervalMs: number;
  /** How long a run goes on without a router attached to it. */
  readonly detachGraceMs: number;
  /** How long a finished answer can still be attached to. */
  readonly answerGraceMs: number;
  /** Finished answers kept for routers that come back. */
  readonly maxFinishedAnswers: number;
}

/** Sessions from the arrival of their attempt until nobody asks any more. */
export class SidecarSessions {
  readonly #settings: SessionsSettings;
  readonly #sessions = new Map<string, SidecarSession>();

  constructor(settings: SessionsSettings) {
    this.#settings = settings;
  }

  /** @returns true while a router's stream waits for something */
  get anyAttached(): boolean {
    return [...this.#sessions.values()].some(({attached}) => attached);
  }

  /**
   * @param attemptId an attempt
   * @returns its session while it is kept
   */
  find(attemptId: string): SidecarSession | undefined {
    return this.#sessions.get(attemptId);
  }

  /** @param session the session of a new attempt */
  add(session: SidecarSession): void {
    this.#sessions.set(session.request.attemptId, session);
  }

  /** @param attemptId an attempt whose answer nobody asks for any more */
  remove(attemptId: string): void {
    this.#sessions.delete(attemptId);
  }

  /**
   * Sends heartbeats, and forgets what is past its time or above the limit.
   *
   * @param now present time
   * @returns sessions that go on without a router for too long
   */
  tick(now: number): SidecarSession[] {
    const {heartbeatIntervalMs, maxFinishedAnswers} = this.#settings;
    const abandoned: SidecarSession[] = [];
    const finished: string[] = [];
    for (const [attemptId, session] of this.#sessions) {
      session.sendHeartbeat(now, heartbeatIntervalMs);
      if (session.closedAt === undefined) {
        if (this.#isAbandoned(session, now)) abandoned.push(session);
      } else if (this.#isPast(session.closedAt, now)) {
        this.remove(attemptId);
      } else if (!session.attached) finished.push(attemptId);
    }
    const surplus = Math.max(0, finished.length - maxFinishedAnswers);
    for (const attemptId of finished.slice(0, surplus)) this.remove(attemptId);
    return abandoned;
  }

  #isAbandoned({detachedAt}: SidecarSession, now: number): boolean {
    if (detachedAt === undefined) return false;
    return now - detachedAt >= this.#settings.detachGraceMs;
  }

  #isPast(closedAt: number, now: number): boolean {
    return now - closedAt >= this.#settings.answerGraceMs;
  }
}
