/**
 * Fake control member that keeps its revisions and answers in memory.
 */
import {
  checkConfiguration,
  type Configuration,
  EMPTY_CONFIGURATION,
  type StateDump,
} from '@lovagepond/core';
import {
  type ChangeAnswer,
  type ChangeRequest,
  type ConfigurationDifference,
  type ControlAdministration,
  type ControlMemberView,
  type ConvergenceView,
  type HistoryEntry,
  type MemberChange,
  type OperationAnswer,
  type OrderAnswer,
  type OrderRequest,
  type OrderView,
  type RequestedChange,
  type RetryableFailure,
  type ServerView,
  type SuspectView,
  type ZoneView,
} from '@lovagepond/control';

type Restore = Parameters<ControlAdministration['restoreRevision']>[0];
type Evacuation = Parameters<ControlAdministration['setEvacuation']>[0];
type Wanted = Parameters<ControlAdministration['setWantedState']>[0];

function edit(base: Configuration, change: RequestedChange): unknown {
  if (change.kind === 'replace') return change.content;
  const name =
    change.kind === 'delete'
      ? change.name
      : (change.object as {name: string}).name;
  const objects: readonly {name: string}[] = base.content[change.section];
  const rest: unknown[] = objects.filter(object => object.name !== name);
  if (change.kind === 'put') rest.push(change.object);
  return {...base.content, [change.section]: rest};
}

/** Finds added pools only, which is enough for these tests. */
function compare(
  a: Configuration,
  b: Configuration,
): ConfigurationDifference[] {
  const former = a.content.pools.map(pool => pool.name);
  return b.content.pools
    .filter(pool => !former.includes(pool.name))
    .map(pool => ({place: `pools/${pool.name}`, kind: 'added', after: pool}));
}

export class FakeAdministration implements ControlAdministration {
  readonly revisions: Configuration[] = [EMPTY_CONFIGURATION];
  readonly wanted = new Map<string, string>();
  readonly memberChanges: MemberChange[] = [];
  readonly orders: OrderView[] = [];
  suspects: SuspectView[] = [];
  zones: ZoneView[] = [];
  members: ControlMemberView[] = [];
  nodes: ConvergenceView[] = [];
  /** Whether a majority confirms the configuration of this member. */
  isNewest = true;
  /** When set, every change is refused with this answer. */
  refusal: RetryableFailure | undefined;
  /** When true, the next change is made and its answer is lost. */
  losesNextAnswer = false;
  readonly #answers = new Map<
    string,
    {readonly digest: string; readonly answer: ChangeAnswer}
  >();

  listZones(): readonly ZoneView[] {
    return this.zones;
  }

  setEvacuation({zone, evacuated}: Evacuation): Promise<OperationAnswer> {
    if (this.refusal) return Promise.resolve(this.refusal);
    this.zones = this.zones.map(one =>
      one.zone === zone ? {...one, evacuated} : one,
    );
    return Promise.resolve({kind: 'accepted'});
  }

  listQuarantine(): readonly SuspectView[] {
    return this.suspects;
  }

  liftQuarantine(request: string): Promise<OperationAnswer> {
    if (this.refusal) return Promise.resolve(this.refusal);
    this.suspects = this.suspects.filter(one => one.request !== request);
    return Promise.resolve({kind: 'accepted'});
  }

  confirmNewest(): Promise<boolean> {
    return Promise.resolve(this.isNewest);
  }

  getConfiguration(): Configuration {
    return this.revisions.at(-1)!;
  }

  history(): readonly HistoryEntry[] {
    const entries = this.revisions.map(({revision}) => ({
      revision,
      operationId: `op-${revision}`,
      acceptedAt: 0,
      changed: [],
      restorable: true,
    }));
    return entries.reverse();
  }

  getRevision(revision: number): Configuration | undefined {
    return this.revisions[revision];
  }

  change(req: ChangeRequest): Promise<ChangeAnswer> {
    if (this.refusal) return Promise.resolve(this.refusal);
    const digest = JSON.stringify([req.baseRevision, req.change]);
    const first = this.#answers.get(req.operationId);
    if (first && first.digest !== digest) {
      const message = 'belongs to another operation';
      const faults = [{place: 'operationId', message}];
      return Promise.resolve({kind: 'invalid', faults});
    }
    const answer = first?.answer ?? this.#apply(req);
    if (!req.dryRun) this.#answers.set(req.operationId, {digest, answer});
    if (!this.losesNextAnswer) return Promise.resolve(answer);
    this.losesNextAnswer = false;
    this.refusal = {kind: 'unknown'};
    return Promise.resolve(this.refusal);
  }

  #apply(req: ChangeRequest): ChangeAnswer {
    const current = this.getConfiguration();
    const base = this.revisions[req.baseRevision]!;
    if (base !== current) {
      const {revision: currentRevision} = current;
      const differences = compare(base, current);
      return {kind: 'conflict', currentRevision, differences};
    }
    const check = checkConfiguration(edit(base, req.change));
    if (!check.ok) return {kind: 'invalid', faults: check.faults};
    const next = {revision: current.revision + 1, content: check.content};
    if (!req.dryRun) this.revisions.push(next);
    const differences = compare(current, next);
    return {kind: 'accepted', revision: next.revision, differences};
  }

  restoreRevision(req: Restore): Promise<ChangeAnswer> {
    const {content} = this.revisions[req.revision]!;
    return this.change({...req, change: {kind: 'replace', content}});
  }

  listBackendServers(): readonly ServerView[] {
    return [];
  }

  setWantedState(req: Wanted): Promise<OperationAnswer> {
    if (this.refusal) return Promise.resolve(this.refusal);
    this.wanted.set(req.backendServer, req.wantedState);
    return Promise.resolve({kind: 'accepted'});
  }

  listOrders(): readonly OrderView[] {
    return this.orders;
  }

  issueOrder(req: OrderRequest): Promise<OrderAnswer> {
    if (this.refusal) return Promise.resolve(this.refusal);
    const known = this.orders.find(order => order.orderId === req.orderId);
    const fencingToken = known?.fencingToken ?? this.orders.length + 1;
    if (!known) this.orders.push({...req, fencingToken, message: ''});
    return Promise.resolve({kind: 'accepted', fencingToken});
  }

  listMembers(): readonly ControlMemberView[] {
    return this.members;
  }

  changeMembers(change: MemberChange): Promise<OperationAnswer> {
    this.memberChanges.push(change);
    return Promise.resolve({kind: 'accepted'});
  }

  convergence(): readonly ConvergenceView[] {
    return this.nodes;
  }

  dump(): StateDump {
    return {version: 1, role: 'control', state: {term: 3}};
  }
}
