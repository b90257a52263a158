import {type Role, type StateDump} from '@lovagepond/core';
import {MetricsRegistry} from '@lovagepond/process';
import {expect, it} from 'vitest';
import {registerRoleMetrics} from '../../role_metrics.js';

const STATE = {
  revision: 3,
  inFlight: 2,
  connectionsOpened: 9,
  endedByOutcome: {answered: 7, backendFailed: 1},
  refusedByKind: {quarantined: 4},
  failedAttemptsByOutcome: {broken: 2},
  secondTries: 1,
  retries: {
    decisions: {granted: 5, alone: 1, noneLeft: 6, unanswered: 2},
    leftByPool: {models: 21},
  },
  crashedServers: 3,
  pausedServers: 2,
  leavingServers: 1,
  suspectedRequests: 1,
  admission: {
    waitingByPool: {models: 12},
    engagedByPool: {models: 3},
    refusedByReason: {flowFull: 8},
    refusedByWorkspace: {nord: 8},
    waitedRequests: 40,
    waitSeconds: 2.5,
  },
};

const gateway = {
  dump: (): StateDump => ({version: 1, role: 'gateway', state: STATE}),
} as Role;

it('exports the counters of a gateway', async () => {
  const metrics = new MetricsRegistry();
  const roles = [{kind: 'gateway', name: 'g', role: gateway}] as const;
  registerRoleMetrics(metrics, roles);
  const {text} = await metrics.render();
  const labels = 'role="gateway",process="g"';
  for (const line of [
    `lovagepond_gateway_requests_ended_total{${labels},outcome="answered"} 7`,
    `lovagepond_refusals_total{${labels},kind="quarantined"} 4`,
    `lovagepond_gateway_attempts_failed_total{${labels},outcome="broken"} 2`,
    `lovagepond_retries_total{${labels}} 1`,
    `lovagepond_gateway_retry_decisions_total{${labels},decision="granted"} 5`,
    `lovagepond_gateway_retry_decisions_total{${labels},decision="noneLeft"} 6`,
    `lovagepond_retries_left{${labels},pool="models"} 21`,
    `lovagepond_gateway_servers_crashed_total{${labels}} 3`,
    `lovagepond_gateway_servers_paused{${labels}} 2`,
    `lovagepond_gateway_servers_leaving{${labels}} 1`,
    `lovagepond_suspected_requests{${labels}} 1`,
    `lovagepond_admission_waiting{${labels},pool="models"} 12`,
    `lovagepond_admission_engaged_servers{${labels},pool="models"} 3`,
    `lovagepond_admission_refused_total{${labels},reason="flowFull"} 8`,
    `lovagepond_admission_wait_seconds_sum{${labels}} 2.5`,
    `lovagepond_admission_wait_seconds_count{${labels}} 40`,
  ]) {
    expect(text).toContain(line);
  }
  // One series for each workspace would be too many with hundreds of them.
  expect(text).not.toContain('nord');
});

it('exports the retries that control grants', async () => {
  const state = {
    retries: {
      grantedByPool: {models: 3},
      refusedByPool: {models: 4},
      leftByPool: {models: 5},
    },
  };
  const control = {
    dump: (): StateDump => ({version: 1, role: 'control', state}),
  } as Role;
  const metrics = new MetricsRegistry();
  registerRoleMetrics(metrics, [{kind: 'control', name: 'c', role: control}]);
  const {text} = await metrics.render();
  const labels = 'role="control",process="c",pool="models"';
  for (const line of [
    `lovagepond_control_retries_granted_total{${labels}} 3`,
    `lovagepond_control_retries_refused_total{${labels}} 4`,
    `lovagepond_retries_left{${labels}} 5`,
  ]) {
    expect(text).toContain(line);
  }
});
