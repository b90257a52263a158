import {expect, test} from 'vitest';
import {ControlFreshness} from '../../router_control_freshness.js';

const HEARTBEAT = {heartbeat: {revision: 1}};

// Guards against a list that counts as new with each heartbeat of a member that
// has lost the leader.
test('the age counts from the last contact of a member that lost the leader', () => {
  const freshness = new ControlFreshness(1_000);
  expect(freshness.ageMs(1_500)).toBe(500);
  freshness.note(HEARTBEAT, 2_000);
  expect(freshness.ageMs(2_100)).toBe(100);
  freshness.note({heartbeat: {revision: 1, contactAgeMs: 700}}, 3_000);
  expect(freshness.ageMs(3_000)).toBe(700);
  freshness.note({configuration: {revision: 2}}, 3_200);
  expect(freshness.ageMs(3_300)).toBe(1_000);
  freshness.note(HEARTBEAT, 3_400);
  expect(freshness.ageMs(3_450)).toBe(50);
});
