import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SidecarAdmission} from '../../sidecar_admission.js';
import {DEFAULT_GATE_SETTINGS} from '../../sidecar_types.js';

const FLOOR = 1_000;
const LOAD_BOUND = 1.5;
/** Half of the span between the mean and the bound is admitted. */
const EFFECTIVE_MULTIPLE = 1.25;
const SETTINGS = {...DEFAULT_GATE_SETTINGS, floorTokens: FLOOR};
const SEED = 20_260_412;

function makeAdmission(): SidecarAdmission {
  return new SidecarAdmission(SETTINGS, LOAD_BOUND);
}

const arrival = fc.record({
  server: fc.nat(5),
  tokens: fc.integer({min: 1, max: 900}),
  gapMs: fc.nat(40),
  routerMean: fc.double({min: 0, max: 8, noNaN: true}),
});

describe('the load bound', () => {
  // Guards against a load above the bound in a surge. Each sidecar gets the
  // pool's mean up to two seconds late, and routers send estimates that are far
  // off. After each dispatch, the load of that server must stay within the
  // floor or the multiple of the true mean.
  it('is never exceeded in a surge with stale means', () => {
    const property = fc.property(
      fc.integer({min: 2, max: 6}),
      fc.integer({min: 0, max: 2_000}),
      fc.array(arrival, {minLength: 200, maxLength: 400}),
      (servers, lagMs, arrivals) => {
        const admissions = Array.from({length: servers}, makeAdmission);
        const pending: {at: number; own: number[]}[] = [];
        let now = 0;
        let nextMeanAt = 0;
        for (const {server, tokens, gapMs, routerMean} of arrivals) {
          now += gapMs;
          if (now >= nextMeanAt) {
            const own = admissions.map(({ownTokens}) => ownTokens);
            pending.push({at: now, own});
            nextMeanAt = now + 1_000;
          }
          while (pending[0] && pending[0].at + lagMs <= now) {
            const {at, own} = pending.shift()!;
            const meanTokens = own.reduce((a, b) => a + b, 0) / servers;
            admissions.forEach((admission, index) =>
              admission.setPoolMean(
                {
                  meanTokens,
                  ageMs: now - at,
                  readyServers: servers,
                  ownTokens: own[index]!,
                },
                now,
              ),
            );
          }
          const index = server % servers;
          const admission = admissions[index]!;
          const sum = admissions.reduce((a, b) => a + b.ownTokens, 0);
          admission.setRouterEstimate((routerMean * sum) / servers, now);
          if (!admission.admits(tokens, now)) continue;
          admission.start(tokens, now);
          const mean = (sum + tokens) / servers;
          const bound = Math.max(FLOOR, LOAD_BOUND * mean) + 1e-6;
          expect(admission.ownTokens).toBeLessThanOrEqual(bound);
        }
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 200});
  });

  // Control stops sending means after a busy period. The other servers become
  // idle, and an old mean at full weight would let this one run far above them.
  // With age, the limit falls to the floor.
  it('discounts a mean by its age', () => {
    const admission = makeAdmission();
    const mean = {meanTokens: 10_000, ageMs: 0, readyServers: 6, ownTokens: 0};
    admission.setPoolMean(mean, 0);
    const fresh = admission.limitTokens(1_000);
    expect(fresh).toBeCloseTo(
      (EFFECTIVE_MULTIPLE * 60_000) / (6 - EFFECTIVE_MULTIPLE),
    );
    expect(admission.limitTokens(6_250)).toBeCloseTo(fresh / 2);
    expect(admission.limitTokens(10_000)).toBe(FLOOR);
  });

  // At the end of a surge, the other servers finish their short requests before
  // the mean that includes them arrives. Admission by that mean would exceed an
  // idle pool's load by a multiple. Long runs are still running at that time.
  it('discounts a mean more for shorter runs', () => {
    const limits = [500, 60_000].map(runMs => {
      const admission = makeAdmission();
      const mean = {meanTokens: 6_000, ageMs: 1_000, readyServers: 6};
      admission.setPoolMean({...mean, ownTokens: 0}, 1_000);
      const whole = admission.limitTokens(1_000);
      admission.recordRunTime(runMs);
      return admission.limitTokens(1_000) / whole;
    });
    expect(limits[0]).toBeLessThan(0.2);
    expect(limits[1]).toBeGreaterThan(0.95);
  });

  // A new control leader counts the pool's servers one by one. A count of one
  // server must not lift the bound, and neither must a missing count.
  it('holds when the reported pool shrinks to one server', () => {
    const admission = makeAdmission();
    expect(admission.limitTokens(0)).toBe(FLOOR);
    const mean = {meanTokens: 100, ageMs: 0, readyServers: 6, ownTokens: 0};
    admission.setPoolMean({...mean, meanTokens: 9_000}, 0);
    admission.setPoolMean({...mean, meanTokens: 9_000, readyServers: 5}, 0);
    expect(admission.limitTokens(0)).toBeCloseTo(
      (EFFECTIVE_MULTIPLE * 45_000) / (5 - EFFECTIVE_MULTIPLE),
    );
    admission.setPoolMean({...mean, readyServers: 1}, 1_000);
    expect(admission.limitTokens(1_000)).toBe(FLOOR);
    admission.setPoolMean({...mean, readyServers: 1}, 20_000);
    expect(admission.limitTokens(20_000)).toBe(SETTINGS.capacityTokens);
  });

  // After a restart of the sidecar, the engine still runs work of the former
  // incarnation. The engine's report is two seconds old: it must be added to
  // what was dispatched since, without counting work twice that both include.
  it('corrects a delayed engine report by later dispatches', () => {
    const admission = makeAdmission();
    admission.setEngineReport(800, 2_000, 1_000);
    admission.start(300, 1_000);
    expect(admission.runningTokens(1_000)).toBe(1_100);
    admission.setEngineReport(310, 0, 2_000);
    expect(admission.runningTokens(2_000)).toBe(300);
  });
});
