import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SidecarAdmission} from '../../sidecar_admission.js';
import {DEFAULT_GATE_SETTINGS} from '../../sidecar_types.js';

const FLOOR = 1_000;
const LOAD_BOUND = 1.5;
/** Half of the span between the mean and the bound is given out. */
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
  // All kiosks wake at once and routers send without looking. Each sidecar
  // hears the pool's mean up to two seconds late and gets estimates from
  // routers that are far off. After every single dispatch the true load of
  // that server must stay within the floor or the multiple of the true mean.
  it('is never exceeded in a wake with stale means', () => {
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

  // Control falls silent after a busy hour. The other servers finish and idle
  // while this one still believes in the old mean; believed for good, it
  // would run far above them. With age only the floor is left.
  it('believes a mean less with its age', () => {
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

  // The tail of a surge: the other servers finish all of their short requests
  // while the mean that tells of them is on its way. Let in by that mean, work
  // here would stand at a multiple of an idle pool. Long runs are still there.
  it('believes less of a mean the shorter the runs are', () => {
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

  // A new control leader counts the pool's servers one by one. A sidecar that
  // hears "one server" must not take the pool for its own; nor may one that
  // has heard nothing yet.
  it('stays when the pool seems to have shrunk to one server', () => {
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

  // A sidecar restarts while its engine still runs what its predecessor
  // dispatched. The engine's report, two seconds old, must count beside what
  // was dispatched since, and not twice what both know.
  it('corrects a lagging report by what was dispatched since', () => {
    const admission = makeAdmission();
    admission.setEngineReport(800, 2_000, 1_000);
    admission.start(300, 1_000);
    expect(admission.runningTokens(1_000)).toBe(1_100);
    admission.setEngineReport(310, 0, 2_000);
    expect(admission.runningTokens(2_000)).toBe(300);
  });
});
