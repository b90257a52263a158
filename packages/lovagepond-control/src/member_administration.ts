/**
 * Implements the administration API in a control member.
 */
import {type ChangeOutcome} from '@lovagepond/consensus';
import {
  type Clock,
  type Configuration,
  decodeLoad,
  type StateDump,
} from '@lovagepond/core';
import {
  ConfigurationChanger,
  describeRefusal,
  digestOf,
} from './configuration_changer.js';
import {
  type ChangeAnswer,
  type ChangeRequest,
  type ControlAdministration,
  type ControlMemberView,
  type ConvergenceView,
  type EvacuationRequest,
  type HistoryEntry,
  type MemberChange,
  type Operation,
  type OperationAnswer,
  type OrderAnswer,
  type OrderRequest,
  type OrderView,
  type ServerView,
  type SuspectView,
  type WantedState,
  type ZoneView,
} from './control_administration.js';
import {
  ORDER_COMMAND,
  WANTED_STATE_COMMAND,
  type WantedStatePayload,
} from './control_commands.js';
import {type CrashReports} from './crash_reports.js';
import {type ControlStateMachine} from './control_state_machine.js';
import {type ConvergenceTable} from './convergence_table.js';
import {type MembershipLog} from './membership_log.js';
import {
  type LoadReport,
  type MembershipRegistry,
} from './membership_registry.js';
import {type OperationResult} from './operation_results.js';
import {type IssueResult} from './order_state.js';
import {type ProposalResult, type Proposer} from './proposer.js';
import {type ReplicatedLog} from './control_log.js';
import {type ZoneAdministration} from './zone_administration.js';

export interface AdministrationDependencies {
  readonly clock: Clock;
  readonly log: ReplicatedLog;
  readonly machine: ControlStateMachine;
  readonly proposer: Proposer;
  readonly registry: MembershipRegistry;
  readonly membership: MembershipLog;
  readonly convergence: ConvergenceTable;
  readonly crashReports: CrashReports;
  readonly zones: ZoneAdministration;
  /** @returns the load report that this member publishes, if it has one */
  readonly load: (now: number) => LoadReport | undefined;
  readonly dump: () => StateDump;
  /** @returns the revision that a majority confirms; undefined when none can */
  readonly confirmRevision: () => Promise<number | undefined>;
}

export class MemberAdministration implements ControlAdministration {
  readonly #deps: AdministrationDependencies;
  readonly #changer: ConfigurationChanger;

  constructor(deps: AdministrationDependencies) {
    this.#deps = deps;
    this.#changer = new ConfigurationChanger(deps.machine, deps.proposer);
  }

  async confirmNewest(): Promise<boolean> {
    const confirmed = await this.#deps.confirmRevision();
    if (confirmed === undefined) return false;
    return this.getConfiguration().revision >= confirmed;
  }

  getConfiguration(): Configuration {
    return this.#deps.machine.configuration.current.read();
  }

  history(): readonly HistoryEntry[] {
    return this.#deps.machine.configuration.history();
  }

  getRevision(revision: number): Configuration | undefined {
    const content = this.#deps.machine.configuration.find(revision);
    return content && {revision, content};
  }

  change(req: ChangeRequest): Promise<ChangeAnswer> {
    return this.#changer.change(req);
  }

  restoreRevision(
    req: Operation & {
      readonly baseRevision: number;
      readonly revision: number;
      readonly dryRun: boolean;
    },
  ): Promise<ChangeAnswer> {
    const {operationId, baseRevision, dryRun, revision} = req;
    const change = {kind: 'restore', revision} as const;
    return this.#changer.change({operationId, baseRevision, dryRun, change});
  }

  listBackendServers(): readonly ServerView[] {
    const {proposer, registry, clock, machine} = this.#deps;
    const now = clock.now();
    if (!proposer.leads()) return this.#listMirrored(now);
    return registry.list().map(known => ({
      server: known.server,
      wantedState: machine.wantedStateOf(known.server),
      runningTokens: known.runningTokens,
      queuedTokens: known.queuedTokens,
      ageMs: now - known.renewedAt,
      damped: known.held,
      announcedState: known.announcedState,
    }));
  }

  async setWantedState(
    req: Operation & {
      readonly backendServer: string;
      readonly wantedState: WantedState;
    },
  ): Promise<OperationAnswer> {
    const {operationId, backendServer: server, wantedState} = req;
    const digest = digestOf([server, wantedState]);
    const answer = await this.#deps.proposer.propose<
      WantedStatePayload,
      OperationResult
    >(WANTED_STATE_COMMAND, {operationId, digest, server, wantedState});
    return toOperationAnswer(answer);
  }

  async issueOrder(req: OrderRequest): Promise<OrderAnswer> {
    const {proposer} = this.#deps;
    const answer = await proposer.propose<OrderRequest, IssueResult>(
      ORDER_COMMAND,
      req,
    );
    return toOrderAnswer(answer);
  }

  listOrders(): readonly OrderView[] {
    return this.#deps.machine.orders.list();
  }

  listQuarantine(): readonly SuspectView[] {
    return this.#deps.crashReports.list();
  }

  liftQuarantine(request: string): Promise<OperationAnswer> {
    return this.#deps.crashReports.lift(request);
  }

  listZones(): readonly ZoneView[] {
    return this.#deps.zones.list();
  }

  setEvacuation(req: EvacuationRequest): Promise<OperationAnswer> {
    return this.#deps.zones.set(req);
  }

  convergence(): readonly ConvergenceView[] {
    return this.#deps.convergence.list(this.#deps.clock.now());
  }

  listMembers(): readonly ControlMemberView[] {
    const {members, leader} = this.#deps.log.status();
    return members.map(member => ({
      memberId: member.id,
      address: member.address,
      voter: member.voter,
      leader: member.id === leader?.id,
    }));
  }

  async changeMembers(change: MemberChange): Promise<OperationAnswer> {
    const run = MEMBER_CHANGES[change.kind];
    const outcome = await run(this.#deps.log, change as never);
    return toMembersAnswer(outcome);
  }

  dump(): StateDump {
    return this.#deps.dump();
  }

  /** At a follower, only loads from the leader's digest are available. */
  #listMirrored(now: number): ServerView[] {
    const {membership, machine} = this.#deps;
    const load = this.#deps.load(now);
    return [...membership.servers()].map(server => ({
      server,
      wantedState: machine.wantedStateOf(server),
      runningTokens: decodeLoad(load?.loads[server.slot] ?? 0),
      queuedTokens: 0,
      ageMs: load?.ageMs ?? Infinity,
      damped: false,
      announcedState: server.state,
    }));
  }
}

const MEMBER_CHANGES: {
  readonly [Kind in MemberChange['kind']]: (
    log: ReplicatedLog,
    change: Extract<MemberChange, {kind: Kind}>,
  ) => Promise<ChangeOutcome>;
} = {
  addLearner: (log, {memberId, address}) => log.addLearner(memberId, address),
  promote: (log, {memberId}) => log.promote(memberId),
  remove: (log, {memberId}) => log.removeMember(memberId),
  replace: (log, {formerMemberId, memberId, address}) =>
    log.replaceMember(formerMemberId, memberId, address),
};

function toMembersAnswer(outcome: ChangeOutcome): OperationAnswer {
  if (outcome.kind === 'committed') return {kind: 'accepted'};
  if (outcome.kind === 'unknown') return {kind: 'unknown'};
  if (outcome.kind === 'refused') {
    const faults = [{place: 'members', message: outcome.reason}];
    return {kind: 'invalid', faults};
  }
  return {kind: 'notLeader', leader: outcome.leader?.address ?? ''};
}

function toOperationAnswer(
  answer: ProposalResult<OperationResult>,
): OperationAnswer {
  if (answer.kind !== 'committed') return answer;
  const result = answer.value;
  if (result.kind === 'accepted') return {kind: 'accepted'};
  if (result.kind === 'conflict') {
    const faults = [{place: 'baseRevision', message: 'is not the current one'}];
    return {kind: 'invalid', faults};
  }
  return {kind: 'invalid', faults: [describeRefusal(result)]};
}

function toOrderAnswer(answer: ProposalResult<IssueResult>): OrderAnswer {
  if (answer.kind !== 'committed') return answer;
  const result = answer.value;
  if (result.kind === 'accepted') return result;
  const fault =
    result.kind === 'tooMany'
      ? {place: 'orders', message: 'too many orders are waiting'}
      : {place: 'orderId', message: 'belongs to another order'};
  return {kind: 'invalid', faults: [fault]};
}
