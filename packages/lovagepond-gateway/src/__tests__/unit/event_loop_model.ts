/**
 * A gateway's event loop in virtual time, with one request a connection. A turn
 * accepts one connection and handles all that is due; the operating system keeps
 * connections that were not accepted, and drops those beyond its limit.
 */
import {Random} from '@lovagepond/core';
import {IntakeLimit} from '../../gateway_intake_limit.js';

/** Costs in milliseconds of processor time. */
interface LoopCosts {
  readonly accept: number;
  /** Of each turn that a request needs. */
  readonly step: number;
  readonly steps: number;
}

export interface LoopLoad {
  /** Requests that one second of processor time can handle. */
  readonly capacityPerS: number;
  readonly arrivalsPerS: (now: number) => number;
  readonly hasLimit: boolean;
  readonly seed: number;
  readonly endMs: number;
  /** Requests on connections that stay open, a second. */
  readonly keptPerS?: number;
}

/** Counts of one second. */
export interface LoopSecond {
  arrived: number;
  accepted: number;
  served: number;
  late: number;
  unread: number;
}

interface Request {
  readonly arrivedAt: number;
  stepsLeft: number;
  dueAt: number;
}

const STEPS = 4;
const ACCEPT_SHARE = 0.08;
const ROUND_TRIP_MS = 2;
const PATIENCE_MS = 1_000;
const MAX_BACKLOG = 511;
const TICK_MS = 10;
/** Of a turn that has nothing to do. */
const TURN_MS = 0.01;
const SECOND_MS = 1_000;

function costsOf(capacityPerS: number): LoopCosts {
  const wholeMs = SECOND_MS / capacityPerS;
  return {
    accept: wholeMs * ACCEPT_SHARE,
    step: (wholeMs * (1 - ACCEPT_SHARE)) / STEPS,
    steps: STEPS,
  };
}

/** @returns the counts of each second in which requests arrived */
export function playEventLoop(load: LoopLoad): readonly LoopSecond[] {
  const random = new Random(load.seed);
  const costs = costsOf(load.capacityPerS);
  const limit = new IntakeLimit();
  const seconds = Array.from({length: load.endMs / SECOND_MS}, () => ({
    arrived: 0,
    accepted: 0,
    served: 0,
    late: 0,
    unread: 0,
  }));
  const secondOf = (at: number): LoopSecond =>
    seconds[Math.min(seconds.length - 1, Math.floor(at / SECOND_MS))]!;
  const draw = (perS: number): number =>
    perS > 0 ? (-Math.log(1 - random.next()) * SECOND_MS) / perS : Infinity;
  let now = 0;
  let nextArrivalAt = draw(load.arrivalsPerS(0));
  let nextKeptAt = draw(load.keptPerS ?? 0);
  let nextTickAt = TICK_MS;
  let running: Request[] = [];
  const backlog: number[] = [];
  while (now < load.endMs) {
    const turnAt = now;
    if (turnAt >= nextTickAt) {
      if (load.hasLimit && !limit.isPaused) {
        limit.noteWait(turnAt - (backlog[0] ?? turnAt));
      }
      nextTickAt = turnAt + TICK_MS;
    }
    if (limit.isPaused) {
      for (const at of backlog.splice(0)) secondOf(at).unread += 1;
    }
    const due = running.filter(({dueAt}) => dueAt <= turnAt);
    running = running.filter(({dueAt}) => dueAt > turnAt);
    for (const req of due) {
      now += costs.step;
      req.stepsLeft -= 1;
      req.dueAt = now + ROUND_TRIP_MS;
      if (req.stepsLeft > 0) {
        running.push(req);
        continue;
      }
      const isLate = now - req.arrivedAt > PATIENCE_MS;
      secondOf(req.arrivedAt)[isLate ? 'late' : 'served'] += 1;
    }
    while (nextKeptAt <= turnAt) {
      running.push({
        arrivedAt: nextKeptAt,
        stepsLeft: costs.steps,
        dueAt: turnAt,
      });
      nextKeptAt += draw(load.keptPerS ?? 0);
    }
    while (nextArrivalAt <= turnAt) {
      const second = secondOf(nextArrivalAt);
      second.arrived += 1;
      if (limit.isPaused) second.unread += 1;
      else if (backlog.length < MAX_BACKLOG) backlog.push(nextArrivalAt);
      else second.late += 1;
      nextArrivalAt += draw(load.arrivalsPerS(nextArrivalAt));
    }
    const arrivedAt = backlog.shift();
    if (arrivedAt !== undefined) {
      now += costs.accept;
      secondOf(arrivedAt).accepted += 1;
      running.push({arrivedAt, stepsLeft: costs.steps, dueAt: now});
    }
    if (limit.isPaused) limit.noteTurn(now - turnAt);
    const nextDueAt = running.reduce(
      (first, {dueAt}) => Math.min(first, dueAt),
      Infinity,
    );
    if (backlog.length > 0 || limit.isPaused) {
      now += TURN_MS;
      continue;
    }
    const wakeAt = Math.min(nextArrivalAt, nextKeptAt, nextTickAt, nextDueAt);
    now = Math.max(now, wakeAt);
  }
  return seconds;
}
