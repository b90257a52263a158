/**
 * Sessions of a sidecar by attempt, with their retention.
 */
import {type SidecarSession} from './sidecar_session.js';

export interface SessionsSettings {
  readonly heartbeatIntervalMs: number;
  /** How long a run continues without an attached stream, milliseconds. */
  readonly detachGraceMs: number;
  /** How long a finished answer can be resumed, milliseconds. */
  readonly answerGraceMs: number;
  /** Maximum number of finished answers kept for routers that reconnect. */
  readonly maxFinishedAnswers: number;
}

/** Holds sessions from the arrival of the attempt to the end of retention. */
export class SidecarSessions {
  readonly #settings: SessionsSettings;
  readonly #sessions = new Map<string, SidecarSession>();

  constructor(settings: SessionsSettings) {
    this.#settings = settings;
  }

  /** @returns the number of sessions to which a router's stream is attached */
  get attached(): number {
    return [...this.#sessions.values()].filter(({attached}) => attached).length;
  }

  /**
   * @param attemptId an attempt
   * @returns its session; undefined when none is kept
   */
  find(attemptId: string): SidecarSession | undefined {
    return this.#sessions.get(attemptId);
  }

  /** @param session the session of a new attempt */
  add(session: SidecarSession): void {
    this.#sessions.set(session.request.attemptId, session);
  }

  /** @param attemptId an attempt whose session is no longer needed */
  remove(attemptId: string): void {
    this.#sessions.delete(attemptId);
  }

  /**
   * Sends heartbeats, and removes finished sessions that are past their
   * retention or above the limit.
   *
   * @param now current time
   * @returns running sessions without a stream for too long
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
