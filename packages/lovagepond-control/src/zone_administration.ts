/**
 * Handles operators' requests to evacuate an availability zone, and to return
 * it to service.
 */
import {type Clock, type Logger} from '@lovagepond/core';
import {
  type EvacuationRequest,
  type OperationAnswer,
  type ZoneView,
} from './control_administration.js';
import {
  EVACUATION_COMMAND,
  type EvacuationPayload,
  EVACUATION_LOG_VERSION,
} from './control_commands.js';
import {digestOf} from './configuration_changer.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {type MembershipLog} from './membership_log.js';
import {type OperationResult} from './operation_results.js';
import {type Proposer} from './proposer.js';
import {ROUTER_ROLE} from './subscription_feed.js';
import {chooseZoneRouters} from './warm_up_decision.js';

export interface ZoneAdministrationDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  /** The zones of the settings; empty when they name none. */
  readonly configuredZones: readonly string[];
  readonly membership: MembershipLog;
  readonly convergence: ConvergenceTable;
  /** @returns the lowest log version among the members */
  readonly oldestLogVersion: () => number;
  /** Updates the states of all servers, and sends them to the subscribers. */
  readonly publish: () => void;
}

/** Evacuates zones and returns them to service. */
export class ZoneAdministration {
  readonly #deps: ZoneAdministrationDependencies;

  constructor(deps: ZoneAdministrationDependencies) {
    this.#deps = deps;
  }

  /** @returns all zones in this member's applied state, by name */
  list(): readonly ZoneView[] {
    const {machine, clock} = this.#deps;
    const timeMs = machine.time.stamp(clock.now());
    const evacuations = machine.evacuations.list();
    const since = new Map(evacuations.map(one => [one.zone, one.sinceMs]));
    return [...this.#knownZones()].sort().map(zone => {
      const sinceMs = since.get(zone) ?? timeMs;
      const evacuatedForMs = timeMs - sinceMs;
      return {zone, evacuated: since.has(zone), evacuatedForMs};
    });
  }

  /**
   * @param req the request; a retry under its id has no further effect, also
   *     when the zone has been returned to service in between
   * @returns `accepted` once a majority has synced the request
   */
  async set(req: EvacuationRequest): Promise<OperationAnswer> {
    const {proposer, oldestLogVersion, log, publish} = this.#deps;
    const {operationId, zone, evacuated} = req;
    if (!proposer.leads()) {
      return {kind: 'notLeader', leader: proposer.leaderAddress()};
    }
    if (!this.#knownZones().has(zone)) {
      const message = `no availability zone is named "${zone}"`;
      return {kind: 'invalid', faults: [{place: 'zone', message}]};
    }
    // A member of an earlier release would stop at an unknown command.
    if (oldestLogVersion() < EVACUATION_LOG_VERSION) {
      log.warn('zone not changed: a member runs an earlier release', {zone});
      return {kind: 'unknown'};
    }
    const digest = digestOf([zone, evacuated]);
    const answer = await proposer.propose<EvacuationPayload, OperationResult>(
      EVACUATION_COMMAND,
      {operationId, digest, zone, evacuated, ...this.#warmUpOf(req)},
    );
    if (answer.kind !== 'committed') return answer;
    if (answer.value.kind !== 'accepted') {
      const message = 'belongs to another operation';
      return {kind: 'invalid', faults: [{place: 'operationId', message}]};
    }
    this.#logState(zone);
    publish();
    return {kind: 'accepted'};
  }

  /** The servers of a zone may have lost their caches during an evacuation. */
  #warmUpOf({
    zone,
    evacuated,
  }: EvacuationRequest): Pick<EvacuationPayload, 'warmUpRouters'> {
    if (evacuated) return {};
    const {machine, convergence} = this.#deps;
    const {pools} = machine.configuration.current.read().content;
    if (pools.every(({warmUp}) => !warmUp)) return {};
    const known = convergence.namesOf(ROUTER_ROLE);
    return {warmUpRouters: chooseZoneRouters(known, zone)};
  }

  /** Logs the state in force, which a concurrent request may have set. */
  #logState(zone: string): void {
    const {log, machine} = this.#deps;
    const evacuated = machine.evacuations.isEvacuated(zone);
    log.info(evacuated ? 'zone evacuated' : 'zone in service', {zone});
    const known = [...this.#knownZones()];
    if (known.every(one => machine.evacuations.isEvacuated(one))) {
      log.warn('all zones are evacuated: no server accepts requests', {
        zones: known.join(' '),
      });
    }
  }

  #knownZones(): ReadonlySet<string> {
    const {configuredZones, membership, machine} = this.#deps;
    const servers = [...membership.servers()];
    const listed = servers.map(({availabilityZone}) => availabilityZone);
    const evacuated = machine.evacuations.list().map(({zone}) => zone);
    return new Set([...configuredZones, ...listed, ...evacuated]);
  }
}
