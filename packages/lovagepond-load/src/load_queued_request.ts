/**
 * Times of a request that decide whether it can be served in time.
 */
import {clampPriority, type QueuedRequest} from './load_admission_queue.js';
import {
  ADMISSION_REFUSAL,
  type AdmissionRequest,
  boundEstimate,
  type LoadedServer,
} from './load_types.js';

/**
 * @param req a request
 * @param servers servers that accept it
 * @param now current time
 * @param sinceMs time that has passed of its target, milliseconds
 * @returns true when an idle server would answer it within its target
 */
export function canBeInTarget<R extends AdmissionRequest>(
  req: R,
  servers: readonly LoadedServer<R>[],
  now: number,
  sinceMs = now - req.arrivedAt,
): boolean {
  const leftMs = req.targetLatencyMs - sinceMs;
  return servers.some(
    server =>
      boundEstimate(server.predictIdle(req, now).firstResponseMs) < leftMs,
  );
}

/**
 * @param req a request that arrives
 * @param servers servers that accept it
 * @param now current time
 * @returns time from its arrival within which a response is in time,
 *     milliseconds: its target, or its deadline when no idle server would
 *     answer it within the target
 */
export function limitMsOf<R extends AdmissionRequest>(
  req: R,
  servers: readonly LoadedServer<R>[],
  now: number,
): number {
  const {targetLatencyMs, deadlineAt, arrivedAt} = req;
  const isShort = canBeInTarget(req, servers, now, 0);
  return isShort ? targetLatencyMs : deadlineAt - arrivedAt;
}

/**
 * @param req a request
 * @param servers servers that accept it
 * @param now current time
 * @returns the one that would answer it first if all were idle; undefined when
 *     there is none
 */
export function bestServerOf<R extends AdmissionRequest>(
  req: R,
  servers: readonly LoadedServer<R>[],
  now: number,
): LoadedServer<R> | undefined {
  let best: LoadedServer<R> | undefined;
  let bestMs = Infinity;
  for (const server of servers) {
    const idleMs = boundEstimate(server.predictIdle(req, now).firstResponseMs);
    if (idleMs >= bestMs) continue;
    bestMs = idleMs;
    best = server;
  }
  return best;
}

/**
 * @param req a request that waits from now on
 * @param servers servers that accept it
 * @param queuePart part of its slack that is kept for the wait at the server
 * @param now current time
 * @returns the queue's item
 */
export function makeQueued<R extends AdmissionRequest>(
  req: R,
  servers: readonly LoadedServer<R>[],
  queuePart: number,
  now: number,
): QueuedRequest<R> {
  const best = bestServerOf(req, servers, now);
  const idleMs = best
    ? boundEstimate(best.predictIdle(req, now).firstResponseMs)
    : Infinity;
  const cost = best ? boundEstimate(best.workMs(req, now)) : 0;
  const {id, workspace, arrivedAt, deadlineAt} = req;
  const slackMs = limitMsOf(req, servers, now) - idleMs;
  const latestStartAt = arrivedAt + slackMs * (1 - queuePart);
  return {
    ...{id, workspace, cost, req, latestStartAt},
    priority: clampPriority(req.priority),
    dueAt: latestStartAt,
    queuedAt: now,
    deadlineStartAt: deadlineAt - idleMs,
    reason: ADMISSION_REFUSAL.EXPIRED,
  };
}
