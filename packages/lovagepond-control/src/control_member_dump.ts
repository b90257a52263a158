/**
 * The state dump of one control member.
 */
import {type ConsensusNode} from '@lovagepond/consensus';
import {type Clock, type StateDump} from '@lovagepond/core';
import {type ControlSettings} from './control_settings.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type CrashReports} from './crash_reports.js';
import {type MembershipLog} from './membership_log.js';
import {type RetryIssuer} from './retry_issuer.js';
import {type SubscriptionHub} from './subscription_hub.js';
import {type ZoneAdministration} from './zone_administration.js';

const DUMP_VERSION = 1;

export interface MemberDumpSources {
  readonly clock: Clock;
  readonly settings: Pick<ControlSettings, 'nodeName'>;
  readonly machine: ControlStateMachine;
  readonly node: ConsensusNode;
  readonly membership: MembershipLog;
  readonly hub: SubscriptionHub;
  readonly crashReports: CrashReports;
  readonly zones: ZoneAdministration;
  readonly retries: RetryIssuer;
}

/**
 * @param sources the member's parts
 * @returns their present state
 */
export function dumpMember({
  clock,
  settings,
  machine,
  node,
  membership,
  hub,
  crashReports,
  zones,
  retries,
}: MemberDumpSources): StateDump {
  const {members, ...status} = node.status();
  const now = clock.now();
  return {
    version: DUMP_VERSION,
    role: 'control',
    state: {
      nodeName: settings.nodeName,
      consensus: {...status, members: [...members]},
      fresh: hub.isFresh(now),
      revision: machine.configuration.current.read().revision,
      ledger: machine.ledger.counts(),
      orders: machine.orders.counts(),
      replicatedTimeMs: machine.time.timeMs,
      membershipVersion: membership.version,
      membershipComplete: membership.complete,
      backendServers: membership.size,
      subscribers: hub.size,
      suspectedRequests: crashReports.list().length,
      retries: retries.describe(now),
      evacuatedZones: zones.list().filter(zone => zone.evacuated),
    },
  };
}
