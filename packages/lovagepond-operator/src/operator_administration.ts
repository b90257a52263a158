/**
 * What the administration server asks of the control member it runs beside.
 *
 * Every change carries an operation id: a resend gets the first answer. A
 * member that can't reach the leader answers `notLeader`, one that doesn't
 * know whether a change was committed answers `unknown`.
 */
import {
  type Configuration,
  type ConfigurationFault,
  type Labels,
  type ServerState,
  type StateDump,
} from '@lovagepond/core';

/** One place at which two configurations differ. */
export interface ConfigurationDifference {
  /** For example `pools[chat].loadBound`. */
  readonly place: string;
  /** Value in the older configuration; undefined where it has none. */
  readonly before?: unknown;
  /** Value in the newer configuration; undefined where it has none. */
  readonly after?: unknown;
}

/** A whole configuration put forward in place of the current one. */
export interface ConfigurationChange {
  readonly operationId: string;
  /** The revision that the operator looked at. */
  readonly baseRevision: number;
  /** Checks and compares only. */
  readonly dryRun: boolean;
  /** Parsed JSON, not checked yet. */
  readonly content: unknown;
}

/** Puts an older configuration back as a new revision. */
export interface ConfigurationRestore {
  readonly operationId: string;
  readonly baseRevision: number;
  readonly dryRun: boolean;
  /** The older revision to put back. */
  readonly revision: number;
}

/** The change was not made, or nothing is known about it. */
export type AdministrationRefusal =
  | {
      readonly kind: 'notLeader';
      /** Name of the leader, when one is known. */
      readonly leader?: string;
    }
  /** The change may have been made: resend it with the same operation id. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'notFound'; readonly message: string}
  | {readonly kind: 'badRequest'; readonly message: string};

/** Answer to a change of the configuration. */
export type ConfigurationOutcome =
  | {
      readonly kind: 'accepted';
      /** The new revision; in a dry run the one that it would get. */
      readonly revision: number;
      readonly differences: readonly ConfigurationDifference[];
    }
  | {
      readonly kind: 'conflict';
      readonly currentRevision: number;
      /** What changed between the base revision and the current one. */
      readonly differences: readonly ConfigurationDifference[];
    }
  | {
      readonly kind: 'invalid';
      readonly faults: readonly ConfigurationFault[];
    }
  | AdministrationRefusal;

/** Answer to any other change. */
export type OperationOutcome<Value> =
  {readonly kind: 'accepted'; readonly value: Value} | AdministrationRefusal;

/** One line of the configuration's history. */
export interface HistoryEntry {
  readonly revision: number;
  readonly operationId: string;
  /** Milliseconds since the Unix epoch, by the leader that accepted it. */
  readonly acceptedAt: number;
}

/** One backend server as an operator sees it. */
export interface BackendServerStatus {
  readonly name: string;
  readonly pool: string;
  readonly state: ServerState;
  /** `ready` or `draining`: what the operators want of it. */
  readonly wantedState: string;
  readonly labels: Labels;
  readonly availabilityZone: string;
  readonly address: string;
  readonly models: readonly string[];
  readonly runningTokens: number;
  readonly queuedTokens: number;
  /** The configuration revision that its sidecar holds. */
  readonly revision: number;
}

/** What a backend server can be ordered to do. */
export const ORDER_ACTION = {
  LOAD_MODEL: 'loadModel',
  UNLOAD_MODEL: 'unloadModel',
  CHANGE_ROLE: 'changeRole',
} as const;

/** One of the values of {@link ORDER_ACTION}. */
export type OrderAction = (typeof ORDER_ACTION)[keyof typeof ORDER_ACTION];

/** An order to one backend server. */
export interface OrderRequest {
  readonly operationId: string;
  readonly backendServer: string;
  readonly action: OrderAction;
  /** For example `{model: 'offers', version: '7'}`. */
  readonly arguments: Readonly<Record<string, string>>;
}

/** An order and what became of it. */
export interface OrderStatus {
  readonly orderId: string;
  readonly backendServer: string;
  readonly action: string;
  readonly arguments: Readonly<Record<string, string>>;
  readonly fencingToken: number;
  /** `pending`, `done`, `failed` or `fenced`. */
  readonly state: string;
  readonly message: string;
}

/** One member of control. */
export interface MemberStatus {
  readonly name: string;
  /** `host:port` that the other members use. */
  readonly address: string;
  /** `voter` or `learner`. */
  readonly role: string;
  readonly isLeader: boolean;
  /** Last log index known to be stored there. */
  readonly matchIndex?: number;
}

/** One change of control's members, a tagged union over `action`. */
export type MemberChange =
  | {
      readonly action: 'addLearner';
      readonly name: string;
      readonly address: string;
    }
  | {readonly action: 'promote'; readonly name: string}
  | {readonly action: 'remove'; readonly name: string}
  | {
      readonly action: 'replace';
      readonly name: string;
      readonly newName: string;
      readonly address: string;
    };

/** The configuration revision that one router or sidecar holds. */
export interface NodeConvergence {
  readonly node: string;
  /** `router` or `sidecar`. */
  readonly role: string;
  readonly revision: number;
  /** Milliseconds since it reported. */
  readonly ageMs: number;
}

/** Which revision is in force where. */
export interface ConvergenceStatus {
  /** The revision accepted last. */
  readonly revision: number;
  readonly nodes: readonly NodeConvergence[];
}

/** One control member, as its administration server sees it. */
export interface Administration {
  getConfiguration(): Promise<Configuration>;
  /** @returns the newest entries first, bounded */
  listHistory(): Promise<readonly HistoryEntry[]>;
  /** @returns undefined when the revision is not kept */
  getRevision(revision: number): Promise<Configuration | undefined>;
  changeConfiguration(
    change: ConfigurationChange,
  ): Promise<ConfigurationOutcome>;
  restoreRevision(restore: ConfigurationRestore): Promise<ConfigurationOutcome>;
  listBackendServers(): Promise<readonly BackendServerStatus[]>;
  drainBackendServer(
    name: string,
    operationId: string,
  ): Promise<OperationOutcome<{readonly wantedState: string}>>;
  resumeBackendServer(
    name: string,
    operationId: string,
  ): Promise<OperationOutcome<{readonly wantedState: string}>>;
  listOrders(): Promise<readonly OrderStatus[]>;
  issueOrder(order: OrderRequest): Promise<OperationOutcome<OrderStatus>>;
  listMembers(): Promise<readonly MemberStatus[]>;
  changeMembers(
    change: MemberChange,
    operationId: string,
  ): Promise<OperationOutcome<readonly MemberStatus[]>>;
  getConvergence(): Promise<ConvergenceStatus>;
  dump(): StateDump;
}
