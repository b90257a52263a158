/**
 * The administration API of control, which the operator package serves over
 * HTTP.
 *
 * An accepted change is committed: a majority of members has synced it to disk.
 * Each member pushes the change to its subscribers when it applies it.
 */
import {
  type BackendServer,
  type Configuration,
  type ConfigurationFault,
  type ConfigurationSection,
  type CrashSubject,
  type ServerState,
  type StateDump,
} from '@lovagepond/core';

/** A change of the configuration that an operator requests. */
export type RequestedChange =
  | {readonly kind: 'replace'; readonly content: unknown}
  | {
      readonly kind: 'put';
      readonly section: ConfigurationSection;
      readonly object: unknown;
    }
  | {
      readonly kind: 'delete';
      readonly section: ConfigurationSection;
      readonly name: string;
    };

/** A change that can be retried, and that fails after a concurrent change. */
export interface ChangeRequest {
  /** A retry under the same id gets the answer of the first request. */
  readonly operationId: string;
  /** Base of the change, which conflicts when another revision is current. */
  readonly baseRevision: number;
  /** Validates the change without applying it. */
  readonly dryRun: boolean;
  readonly change: RequestedChange;
}

/** One named object that differs between two configurations. */
export interface ConfigurationDifference {
  /** For example `pools/drafting`. */
  readonly place: string;
  readonly kind: 'added' | 'removed' | 'changed';
  /** The former object; absent when added. */
  readonly before?: unknown;
  /** The new object; absent when removed. */
  readonly after?: unknown;
}

/** A failure of an operation that the client may retry. */
export type RetryableFailure =
  /** This member isn't the leader; `leader` is empty when none is known. */
  | {readonly kind: 'notLeader'; readonly leader: string}
  /** The operation may have been committed: retry with the same id. */
  | {readonly kind: 'unknown'};

export type ChangeAnswer =
  | {
      readonly kind: 'accepted';
      /** The new revision; for a dry run, the one that it would get. */
      readonly revision: number;
      readonly differences: readonly ConfigurationDifference[];
    }
  | {
      readonly kind: 'conflict';
      readonly currentRevision: number;
      /** Changes since the base revision; empty once that is no longer kept. */
      readonly differences: readonly ConfigurationDifference[];
    }
  | {
      readonly kind: 'invalid';
      readonly faults: readonly ConfigurationFault[];
    }
  | RetryableFailure;

/** One accepted revision. */
export interface HistoryEntry {
  readonly revision: number;
  readonly operationId: string;
  /** Milliseconds since the Unix epoch, by the leader's clock. */
  readonly acceptedAt: number;
  /** Places that differ from the previous revision. */
  readonly changed: readonly string[];
  /** Whether the content is still kept, so that it can be restored. */
  readonly restorable: boolean;
}

/** A backend server's state in control. */
export interface ServerView {
  readonly server: BackendServer;
  readonly wantedState: WantedState;
  readonly runningTokens: number;
  readonly queuedTokens: number;
  /** Milliseconds since the server last renewed its lease. */
  readonly ageMs: number;
  /** The server is held in `joining` because it joined and left too often. */
  readonly damped: boolean;
  readonly announcedState: ServerState;
}

/** The state that operators set for a backend server. */
export const WANTED_STATE = {READY: 'ready', DRAINING: 'draining'} as const;

export type WantedState = (typeof WANTED_STATE)[keyof typeof WANTED_STATE];

/** The action that an order requests from a backend server. */
export const ORDER_ACTION = {
  LOAD_MODEL: 'loadModel',
  UNLOAD_MODEL: 'unloadModel',
  CHANGE_ROLE: 'changeRole',
} as const;

export type OrderAction = (typeof ORDER_ACTION)[keyof typeof ORDER_ACTION];

export interface OrderRequest {
  /** Issuing an order again under the same id has no further effect. */
  readonly orderId: string;
  readonly backendServer: string;
  readonly action: OrderAction;
  readonly arguments: Readonly<Record<string, string>>;
}

/** How an order ended. */
export const ORDER_OUTCOME = {
  DONE: 'done',
  FAILED: 'failed',
  /** The server had already received a later order. */
  FENCED: 'fenced',
} as const;

export type OrderOutcomeKind =
  (typeof ORDER_OUTCOME)[keyof typeof ORDER_OUTCOME];

/** An order with its outcome, once reported. */
export interface OrderView extends OrderRequest {
  readonly fencingToken: number;
  readonly outcome?: OrderOutcomeKind;
  readonly message: string;
}

/** Answer to an operation other than a configuration change. */
export type OperationAnswer =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

/** Answer to an order. */
export type OrderAnswer =
  | {readonly kind: 'accepted'; readonly fencingToken: number}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

/** The configuration revision that a node holds. */
export interface ConvergenceView {
  readonly node: string;
  readonly role: string;
  readonly revision: number;
  /** Milliseconds since the node's last report. */
  readonly ageMs: number;
}

/** A member of the consensus group. */
export interface ControlMemberView {
  readonly memberId: string;
  readonly address: string;
  /** False for a learner, which receives the log and has no vote. */
  readonly voter: boolean;
  readonly leader: boolean;
  /** Highest log index known to be synced there; set at the leader only. */
  readonly matchIndex?: number;
}

/** A change of the consensus group; only one can be in progress. */
export type MemberChange =
  | {
      readonly kind: 'addLearner';
      readonly memberId: string;
      readonly address: string;
    }
  | {readonly kind: 'promote'; readonly memberId: string}
  | {readonly kind: 'remove'; readonly memberId: string}
  /** Adds a learner, promotes it when caught up, and removes the former one. */
  | {
      readonly kind: 'replace';
      readonly formerMemberId: string;
      readonly memberId: string;
      readonly address: string;
    };

/** An availability zone, and whether it is evacuated. */
export interface ZoneView {
  readonly zone: string;
  /** The zone's servers get no new requests. */
  readonly evacuated: boolean;
  /** Milliseconds since the evacuation was requested; 0 when there is none. */
  readonly evacuatedForMs: number;
}

/** Identifies an operation, so that a retry has no second effect. */
export interface Operation {
  readonly operationId: string;
}

/** A request to evacuate an availability zone, or to return it to service. */
export interface EvacuationRequest extends Operation {
  readonly zone: string;
  readonly evacuated: boolean;
}

/** A request, or a part of prompts, suspected of crashing backend servers. */
export interface SuspectView {
  /** The request's fingerprint in hexadecimal, as in logs, or `part:ID`. */
  readonly request: CrashSubject;
  readonly crashes: number;
  /** The quarantine covers only requests that have all of these as well. */
  readonly companions: readonly CrashSubject[];
  /** Remaining time in quarantine, milliseconds; 0 when not quarantined. */
  readonly quarantinedForMs: number;
}

/**
 * The administration of one control member. Reads return the state that this
 * member has applied; operations answer `notLeader` at any member other than
 * the leader.
 */
export interface ControlAdministration {
  /**
   * Checks that this member's configuration is current: it may be outdated when
   * the member is partitioned or has lost its disk.
   *
   * @returns true if a majority has confirmed after the call that this member
   *     holds the newest configuration
   */
  confirmNewest(): Promise<boolean>;

  /** @returns the configuration that this member has applied */
  getConfiguration(): Configuration;

  /** @returns accepted revisions, newest first */
  history(): readonly HistoryEntry[];

  /**
   * @param revision a revision of the history
   * @returns its configuration; undefined when it is no longer kept
   */
  getRevision(revision: number): Configuration | undefined;

  /** Changes the configuration, or validates the change in a dry run. */
  change(req: ChangeRequest): Promise<ChangeAnswer>;

  /** Restores the content of an older revision as a new revision. */
  restoreRevision(
    req: Operation & {
      readonly baseRevision: number;
      readonly revision: number;
      readonly dryRun: boolean;
    },
  ): Promise<ChangeAnswer>;

  /** @returns all announced backend servers */
  listBackendServers(): readonly ServerView[];

  /** Drains a backend server, or returns it to service. */
  setWantedState(
    req: Operation & {
      readonly backendServer: string;
      readonly wantedState: WantedState;
    },
  ): Promise<OperationAnswer>;

  issueOrder(req: OrderRequest): Promise<OrderAnswer>;

  /** @returns the retained orders with their outcomes, newest first */
  listOrders(): readonly OrderView[];

  /** @returns suspected requests, both quarantined and not */
  listQuarantine(): readonly SuspectView[];

  /** Ends a request's quarantine and deletes its recorded crashes. */
  liftQuarantine(request: string): Promise<OperationAnswer>;

  /** @returns the availability zones that this member knows, by name */
  listZones(): readonly ZoneView[];

  /** Evacuates an availability zone, or returns it to service. */
  setEvacuation(req: EvacuationRequest): Promise<OperationAnswer>;

  /** @returns the revision that each router and sidecar last reported */
  convergence(): readonly ConvergenceView[];

  /** @returns the consensus group in this member's state */
  listMembers(): readonly ControlMemberView[];

  changeMembers(change: MemberChange): Promise<OperationAnswer>;

  /** @returns the member's state, bounded in size and without secrets */
  dump(): StateDump;
}
