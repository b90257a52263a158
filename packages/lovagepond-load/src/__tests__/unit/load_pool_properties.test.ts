import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type AdmissionRequest} from '../../index.js';
import {FixedServer, makeAdmission, makeRequest} from './load_test_utils.js';

const LIMITS = {maxQueuedRequests: 8, maxQueuedBytes: 2_000};
const WORKSPACES = ['', 'a', 'b', 'c'];

const action = fc.record({
  kind: fc.constantFrom(
    ...['submit', 'submit', 'submit', 'respond', 'respond', 'refuse'],
    ...['end', 'leave', 'change', 'freeze'],
  ),
  pick: fc.nat(1_000),
  gapMs: fc.nat(60),
  workspace: fc.constantFrom(...WORKSPACES),
  priority: fc.integer({min: -1, max: 10}),
  bytes: fc.integer({min: 0, max: 800}),
  startMs: fc.constantFrom(0, 0, 30, 300, 1e9, Infinity, NaN, -1),
  idleMs: fc.constantFrom(0, 40, 40, 500, 1e9, Infinity, NaN, -1),
  servers: fc.integer({min: 0, max: 3}),
});

/** Counts what becomes of each request. */
class Ledger {
  readonly submitted = new Set<string>();
  readonly settled = new Set<string>();
  readonly running: AdmissionRequest[] = [];

  settle({id}: AdmissionRequest): void {
    expect(this.submitted.has(id)).toBe(true);
    expect(this.settled.has(id)).toBe(false);
    this.settled.add(id);
  }
}

describe('admission control', () => {
  // Guards against requests that are lost, answered twice or started twice,
  // and against a queue beyond its limits, whatever the predictions are.
  it('starts, refuses or removes each request exactly once', () => {
    const property = fc.property(
      fc.array(action, {maxLength: 250}),
      actions => {
        const admission = makeAdmission(LIMITS);
        const all = ['s0', 's1', 's2'].map(name => new FixedServer(name, 2));
        let listed = all;
        const ledger = new Ledger();
        let waiting: AdmissionRequest[] = [];
        let now = 0;
        const start = (req: AdmissionRequest): void => {
          ledger.settle(req);
          const open = admission.openServers(req, listed, now);
          expect(open.length).toBeGreaterThan(0);
          admission.noteSent(req, open[0]!, now);
          ledger.running.push(req);
        };
        const pump = (): void => {
          for (;;) {
            const req = admission.next(() => listed, now);
            if (!req) break;
            start(req);
          }
          for (const {req, refusal} of admission.expire(now)) {
            ledger.settle(req);
            expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(150);
          }
          waiting = waiting.filter(({id}) => !ledger.settled.has(id));
          const {waiting: size, bytes} = admission.describe(now);
          expect(size).toBe(waiting.length);
          expect(bytes).toBe(waiting.reduce((sum, req) => sum + req.bytes, 0));
          expect(size).toBeLessThanOrEqual(LIMITS.maxQueuedRequests);
          expect(bytes).toBeLessThanOrEqual(LIMITS.maxQueuedBytes);
          const at = admission.nextCheckAt(now);
          expect(at === undefined).toBe(size === 0);
          if (at !== undefined) expect(at).toBeGreaterThanOrEqual(now);
        };
        const take = (pick: number): AdmissionRequest | undefined =>
          ledger.running.splice(pick % (ledger.running.length || 1), 1)[0];
        const handlers: Record<string, (a: (typeof actions)[number]) => void> =
          {
            submit: ({workspace, priority, bytes}) => {
              const req = makeRequest(now, {workspace, priority, bytes});
              ledger.submitted.add(req.id);
              const decision = admission.submit(req, listed, now);
              if (decision.kind === 'start') start(req);
              else if (decision.kind === 'refuse') ledger.settle(req);
              else waiting.push(req);
            },
            respond: ({pick}) => {
              const req = take(pick);
              if (!req) return;
              admission.noteResponse(req.id, now);
              admission.noteEnded(req.id, now);
            },
            refuse: ({pick}) => {
              const req = take(pick);
              if (req) admission.noteRefused(req.id, pick % 2 === 0, now);
            },
            end: ({pick}) => {
              const req = take(pick);
              if (req) admission.noteEnded(req.id, now);
            },
            leave: ({pick}) => {
              const req = waiting[pick % (waiting.length || 1)];
              if (!req) return;
              expect(admission.remove(req.id)).toBe(true);
              ledger.settle(req);
            },
            change: ({pick, startMs, idleMs, servers}) => {
              const server = all[pick % all.length]!;
              Object.assign(server, {startMs, idleMs, work: idleMs / 2});
              listed = all.slice(0, servers);
              admission.keepOnly(new Set(listed.map(({name}) => name)));
            },
            freeze: ({pick}) => {
              now += pick * 5;
            },
          };
        for (const step of actions) {
          now += step.gapMs;
          handlers[step.kind]!(step);
          pump();
        }
        // Requests whose deadlines have passed don't wait for ever.
        now += 10_000;
        pump();
        expect(waiting).toEqual([]);
        expect(ledger.settled.size).toBe(ledger.submitted.size);
      },
    );
    fc.assert(property);
  });
});
