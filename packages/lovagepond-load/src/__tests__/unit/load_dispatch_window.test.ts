import {describe, expect, it} from 'vitest';
import {DispatchWindow} from '../../index.js';

const IDLE_MS = 40;
const TARGET_MS = 60;
const WORK_MS = 10;
const SLOTS = 4;

let attempts = 0;

/** Sends a request whose response comes after a time. */
function exchange(
  window: DispatchWindow,
  now: number,
  tookMs: number,
  hasQueue = true,
): void {
  const id = send(window, now);
  window.noteResponse(id, hasQueue, now + tookMs);
}

function send(window: DispatchWindow, now: number): string {
  attempts += 1;
  const id = `a${attempts}`;
  const attempt = {id, workMs: WORK_MS, idleMs: IDLE_MS};
  window.noteSent({...attempt, targetDelayMs: TARGET_MS}, now);
  return id;
}

function windowMs(window: DispatchWindow, now: number): number {
  return Number(window.describe(now)['windowMs']);
}

function makeWindow(): DispatchWindow {
  const window = new DispatchWindow();
  window.configure(SLOTS, 1);
  return window;
}

describe('a dispatch window', () => {
  // Guards against limits on a server that serves in time.
  it('limits nothing while responses are in time', () => {
    const window = makeWindow();
    for (let now = 0; now < 1_000; now += 10) {
      expect(window.hasRoom(WORK_MS, false, now)).toBe(true);
      exchange(window, now, IDLE_MS + TARGET_MS / 2);
    }
    expect(window.isEngaged(1_000)).toBe(false);
  });

  // Guards against a server that refuses its first request, and then gets
  // nothing for ever, as the work of a request was unknown.
  it('admits requests after it engaged without an estimate', () => {
    const window = makeWindow();
    const times = {idleMs: 0, targetDelayMs: TARGET_MS};
    window.noteSent({id: 'unknown', workMs: 0, ...times}, 0);
    window.noteRefused('unknown', false, 1);
    expect(window.isEngaged(1)).toBe(true);
    let sent = 0;
    for (let now = 50; now < 1_000; now += 50) {
      if (!window.hasRoom(WORK_MS, false, now)) continue;
      exchange(window, now, IDLE_MS);
      sent += 1;
    }
    expect(sent).toBeGreaterThan(10);
  });

  // Guards against a full server that is sent as much as before.
  it('engages below the work in flight', () => {
    const window = makeWindow();
    const ids = Array.from({length: 8}, () => send(window, 0));
    window.noteResponse(ids[0]!, true, IDLE_MS + 3 * TARGET_MS);
    const now = IDLE_MS + 3 * TARGET_MS;
    expect(window.isEngaged(now)).toBe(true);
    expect(windowMs(window, now)).toBeLessThanOrEqual(0.7 * 8 * WORK_MS);
    expect(window.hasRoom(WORK_MS, false, now)).toBe(false);
  });

  // Guards against refusals for other reasons than load that stop a gateway.
  it('engages by refusals of a server without a free slot only', () => {
    const window = makeWindow();
    window.noteRefused(send(window, 0), true, 1);
    expect(window.isEngaged(1)).toBe(false);
    window.noteRefused(send(window, 2), false, 3);
    expect(window.isEngaged(3)).toBe(true);
  });

  // Guards against several decreases by the responses of one burst: those of
  // requests sent before a decrease don't show its effect.
  it('shrinks again only by requests sent after a decrease', () => {
    const window = makeWindow();
    const ids = Array.from({length: 8}, () => send(window, 0));
    window.noteResponse(ids[0]!, true, 300);
    const engagedMs = windowMs(window, 300);
    for (const [index, id] of ids.slice(1).entries()) {
      window.noteResponse(id, true, 300 * (index + 2));
    }
    expect(windowMs(window, 2_400)).toBe(engagedMs);
    exchange(window, 2_400, IDLE_MS + 4 * TARGET_MS);
    const shrunkMs = windowMs(window, 3_000);
    expect(shrunkMs).toBeLessThan(engagedMs);
    expect(shrunkMs).toBeGreaterThanOrEqual(0.5 * engagedMs);
  });

  // Guards against gateways that stay at one request per round trip while
  // their share is less, which overloads a server with many gateways.
  it('paces requests when it is smaller than one', () => {
    const window = makeWindow();
    let now = 0;
    for (let round = 0; round < 40; round += 1) {
      exchange(window, now, IDLE_MS + 4 * TARGET_MS);
      now += 1_000;
      window.hasRoom(WORK_MS, false, now);
    }
    now -= 1_000;
    expect(windowMs(window, now)).toBeCloseTo(WORK_MS / 16);
    send(window, now);
    expect(window.pacedUntil).toBeGreaterThan(now + 10 * IDLE_MS);
  });

  // Guards against windows that don't take up capacity that becomes free.
  it('grows while it is the limit and responses are early', () => {
    const window = makeWindow();
    exchange(window, 0, IDLE_MS + 2 * TARGET_MS);
    const before = windowMs(window, 200);
    let now = 200;
    while (now < 1_200) {
      const ids: string[] = [];
      while (window.hasRoom(WORK_MS, false, now)) ids.push(send(window, now));
      now += IDLE_MS + 5;
      for (const id of ids) window.noteResponse(id, true, now);
    }
    expect(windowMs(window, now)).toBeGreaterThan(3 * before);
    expect(windowMs(window, now)).toBeLessThanOrEqual(2 * SLOTS * WORK_MS);
  });

  // Guards against a slow server that stays idle: its responses take long, but
  // nothing waits there.
  it('opens to a request when the server reports an empty queue', () => {
    const window = makeWindow();
    for (let now = 0; now < 20_000; now += 1_000) {
      exchange(window, now, IDLE_MS + 4 * TARGET_MS);
      window.hasRoom(WORK_MS, false, now + 500);
    }
    expect(windowMs(window, 20_000)).toBeLessThan(WORK_MS);
    exchange(window, 20_000, IDLE_MS + 4 * TARGET_MS, false);
    expect(windowMs(window, 20_300)).toBeGreaterThanOrEqual(WORK_MS);
  });

  // Guards against congestion that is reported after its end.
  it('is released when it has not been the limit for a second', () => {
    const window = makeWindow();
    exchange(window, 0, IDLE_MS + 2 * TARGET_MS);
    expect(window.isEngaged(1_100)).toBe(true);
    expect(window.isEngaged(1_200)).toBe(false);
    expect(window.pacedUntil).toBe(-Infinity);
  });

  // Guards against borrowing without end.
  it('lets a small flow send a few requests ahead', () => {
    const window = makeWindow();
    exchange(window, 0, IDLE_MS + 2 * TARGET_MS);
    let sent = 0;
    while (window.hasRoom(WORK_MS, true, 200) && sent < 100) {
      send(window, 200);
      sent += 1;
    }
    expect(sent).toBeGreaterThan(2);
    expect(sent).toBeLessThanOrEqual(6);
  });

  // Responses of a server with a long queue come seconds apart. A window that
  // was released in between would let each gateway refill the queue.
  it('stays engaged while responses take longer than the release time', () => {
    const window = makeWindow();
    for (let at = 0; at < 3; at += 1) exchange(window, at * 1_700, 1_700);
    expect(window.isEngaged(5_100 + 1_700)).toBe(true);
    expect(window.isEngaged(5_100 + 4_000)).toBe(false);
  });
});
