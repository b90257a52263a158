/**
 * One control member in memory: a revision list and remembered answers.
 */
import {
  checkConfiguration,
  type Configuration,
  EMPTY_CONFIGURATION,
} from '@lovagepond/core';
import {
  type Administration,
  type AdministrationRefusal,
  compareConfigurations,
  type ConfigurationChange,
  type ConfigurationOutcome,
  type ConvergenceStatus,
  type MemberChange,
  type MemberStatus,
  type OrderRequest,
  type OrderStatus,
} from '../../index.js';

export class FakeAdministration implements Administration {
  readonly revisions: Configuration[] = [EMPTY_CONFIGURATION];
  readonly wanted = new Map<string, string>();
  readonly orders: OrderStatus[] = [];
  readonly memberChanges: MemberChange[] = [];
  convergence: ConvergenceStatus = {revision: 0, nodes: []};
  /** Set: every change is refused like this. */
  refusal: AdministrationRefusal | undefined;
  readonly #answers = new Map<string, unknown>();

  #once<Value>(id: string, make: () => Value): Value {
    const first = this.#answers.get(id);
    if (first !== undefined) return first as Value;
    const value = make();
    this.#answers.set(id, value);
    return value;
  }

  getConfiguration(): Promise<Configuration> {
    return Promise.resolve(this.revisions.at(-1)!);
  }

  listHistory(): ReturnType<Administration['listHistory']> {
    const entries = this.revisions.map(({revision}) => ({
      revision,
      operationId: `op-${revision}`,
      acceptedAt: 0,
    }));
    return Promise.resolve(entries.reverse());
  }

  getRevision(revision: number): Promise<Configuration | undefined> {
    return Promise.resolve(this.revisions[revision]);
  }

  changeConfiguration(
    change: ConfigurationChange,
  ): Promise<ConfigurationOutcome> {
    if (this.refusal) return Promise.resolve(this.refusal);
    if (change.dryRun) return Promise.resolve(this.#apply(change));
    const outcome = this.#once(change.operationId, () => this.#apply(change));
    return Promise.resolve(outcome);
  }

  #apply(change: ConfigurationChange): ConfigurationOutcome {
    const current = this.revisions.at(-1)!;
    const {revision} = current;
    const base = this.revisions[change.baseRevision]!;
    const check = checkConfiguration(change.content);
    if (!check.ok) return {kind: 'invalid', faults: check.faults};
    if (change.baseRevision !== revision) {
      const differences = compareConfigurations(base.content, current.content);
      return {kind: 'conflict', currentRevision: revision, differences};
    }
    const next = {revision: revision + 1, content: check.content};
    if (!change.dryRun) this.revisions.push(next);
    const differences = compareConfigurations(current.content, check.content);
    return {kind: 'accepted', revision: next.revision, differences};
  }

  restoreRevision(
    restore: Parameters<Administration['restoreRevision']>[0],
  ): Promise<ConfigurationOutcome> {
    const {content} = this.revisions[restore.revision]!;
    return this.changeConfiguration({...restore, content});
  }

  listBackendServers(): ReturnType<Administration['listBackendServers']> {
    return Promise.resolve([]);
  }

  drainBackendServer(
    name: string,
  ): ReturnType<Administration['drainBackendServer']> {
    if (this.refusal) return Promise.resolve(this.refusal);
    this.wanted.set(name, 'draining');
    const value = {wantedState: 'draining'};
    return Promise.resolve({kind: 'accepted', value});
  }

  resumeBackendServer(
    name: string,
  ): ReturnType<Administration['resumeBackendServer']> {
    this.wanted.set(name, 'ready');
    return Promise.resolve({kind: 'accepted', value: {wantedState: 'ready'}});
  }

  listOrders(): Promise<readonly OrderStatus[]> {
    return Promise.resolve(this.orders);
  }

  issueOrder(order: OrderRequest): ReturnType<Administration['issueOrder']> {
    const value = this.#once(order.operationId, () => {
      const status: OrderStatus = {
        ...order,
        orderId: `order-${this.orders.length}`,
        fencingToken: this.orders.length + 1,
        state: 'pending',
        message: '',
      };
      this.orders.push(status);
      return status;
    });
    return Promise.resolve({kind: 'accepted', value});
  }

  listMembers(): Promise<readonly MemberStatus[]> {
    const address = '127.0.0.1:1';
    const member = {name: 'c1', address, role: 'voter', isLeader: true};
    return Promise.resolve([member]);
  }

  async changeMembers(
    change: MemberChange,
  ): ReturnType<Administration['changeMembers']> {
    this.memberChanges.push(change);
    return {kind: 'accepted', value: await this.listMembers()};
  }

  getConvergence(): Promise<ConvergenceStatus> {
    return Promise.resolve(this.convergence);
  }

  dump(): ReturnType<Administration['dump']> {
    return {version: 1, role: 'control', state: {term: 3}};
  }
}
