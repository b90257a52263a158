/**
 * What operators can ask of control. The operator package offers it over HTTP.
 *
 * Accepted means committed: a majority has synced the change, and every member
 * pushes it to its subscribers when it applies it.
 */
import {
  type BackendServer,
  type Configuration,
  type ConfigurationFault,
  type ConfigurationSection,
  type ServerState,
  type StateDump,
} from '@lovagepond/core';

/** The change an operator wants. */
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

/** A change with what makes it safe to send twice and to race. */
export interface ChangeRequest {
  /** A resend under the same id gets the first answer. */
  readonly operationId: string;
  /** The revision the operator saw; another one by now is a conflict. */
  readonly baseRevision: number;
  /** Checks everything and changes nothing. */
  readonly dryRun: boolean;
  readonly change: RequestedChange;
}

/** One named object that differs between two configurations. */
export interface ConfigurationDifference {
  /** For example `pools/drafting`. */
  readonly place: string;
  readonly kind: 'added' | 'removed' | 'changed';
  /** The object before; absent when added. */
  readonly before?: unknown;
  /** The object after; absent when removed. */
  readonly after?: unknown;
}

/** Answers that any operation at the leader can get. */
export type RetryableFailure =
  /** Another member leads; empty when none is known. */
  | {readonly kind: 'notLeader'; readonly leader: string}
  /** It may or may not have been committed: send the same id again. */
  | {readonly kind: 'unknown'};

/** Answer to a change. */
export type ChangeAnswer =
  | {
      readonly kind: 'accepted';
      /** The new revision; with a dry run the one it would get. */
      readonly revision: number;
      readonly differences: readonly ConfigurationDifference[];
    }
  | {
      readonly kind: 'conflict';
      readonly currentRevision: number;
      /** From the base revision to the current one, while history has it. */
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
  /** Places that differ from the revision before. */
  readonly changed: readonly string[];
  /** The content is still kept, so that the revision can be restored. */
  readonly restorable: boolean;
}

/** A backend server as control sees it. */
export interface ServerView {
  readonly server: BackendServer;
  readonly wantedState: WantedState;
  readonly runningTokens: number;
  readonly queuedTokens: number;
  /** Milliseconds since it last renewed. */
  readonly ageMs: number;
  /** It is held in `joining` because it came and went too often. */
  readonly damped: boolean;
  readonly announcedState: ServerState;
}

/** What control wants of a backend server. */
export const WANTED_STATE = {READY: 'ready', DRAINING: 'draining'} as const;

/** One of the values of {@link WANTED_STATE}. */
export type WantedState = (typeof WANTED_STATE)[keyof typeof WANTED_STATE];

/** What an order asks of a backend server. */
export const ORDER_ACTION = {
  LOAD_MODEL: 'loadModel',
  UNLOAD_MODEL: 'unloadModel',
  CHANGE_ROLE: 'changeRole',
} as const;

/** One of the values of {@link ORDER_ACTION}. */
export type OrderAction = (typeof ORDER_ACTION)[keyof typeof ORDER_ACTION];

/** An order to issue. */
export interface OrderRequest {
  /** A second order under the same id is the first one. */
  readonly orderId: string;
  readonly backendServer: string;
  readonly action: OrderAction;
  readonly arguments: Readonly<Record<string, string>>;
}

/** How an order ended. */
export const ORDER_OUTCOME = {
  DONE: 'done',
  FAILED: 'failed',
  /** A later order had already been passed to the server. */
  FENCED: 'fenced',
} as const;

/** One of the values of {@link ORDER_OUTCOME}. */
export type OrderOutcomeKind =
  (typeof ORDER_OUTCOME)[keyof typeof ORDER_OUTCOME];

/** An order and, once reported, its outcome. */
export interface OrderView extends OrderRequest {
  readonly fencingToken: number;
  readonly outcome?: OrderOutcomeKind;
  readonly message: string;
}

/** Answer to an operation that is not a change of the configuration. */
export type OperationAnswer =
  | {readonly kind: 'accepted'}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

/** Answer to an order. */
export type OrderAnswer =
  | {readonly kind: 'accepted'; readonly fencingToken: number}
  | {readonly kind: 'invalid'; readonly faults: readonly ConfigurationFault[]}
  | RetryableFailure;

/** Which revision a node holds. */
export interface ConvergenceView {
  readonly node: string;
  readonly role: string;
  readonly revision: number;
  /** Milliseconds since the node last said so. */
  readonly ageMs: number;
}

/** A member of the consensus group. */
export interface ControlMemberView {
  readonly memberId: string;
  readonly address: string;
  /** A learner gets the log and has no vote. */
  readonly voter: boolean;
  readonly leader: boolean;
  /** Log index known to be synced there, when this member leads. */
  readonly matchIndex?: number;
}

/** A change of the consensus group, one at a time. */
export type MemberChange =
  | {
      readonly kind: 'addLearner';
      readonly memberId: string;
      readonly address: string;
    }
  | {readonly kind: 'promote'; readonly memberId: string}
  | {readonly kind: 'remove'; readonly memberId: string}
  /** Adds a learner, promotes it once caught up, then removes the old one. */
  | {
      readonly kind: 'replace';
      readonly formerMemberId: string;
      readonly memberId: string;
      readonly address: string;
    };

/** Names one operation, so that a resend has no second effect. */
export interface Operation {
  readonly operationId: string;
}

/** A request that servers crashed under. */
export interface SuspectView {
  /** Its fingerprint, as in logs. */
  readonly request: string;
  readonly crashes: number;
  /** Milliseconds; 0 when it may run. */
  readonly quarantinedForMs: number;
}

/**
 * The administration of one control member. Reads answer from what this
 * member has applied; operations answer `notLeader` on any other member than
 * the leader.
 */
export interface ControlAdministration {
  /**
   * A member that is cut off or lost its disk must not have what it holds read
   * as what is in force.
   *
   * @returns true once a majority confirmed after the call that this member
   *     holds the newest configuration
   */
  confirmNewest(): Promise<boolean>;

  /** @returns the configuration that this member holds */
  getConfiguration(): Configuration;

  /** @returns accepted revisions, newest first */
  history(): readonly HistoryEntry[];

  /**
   * @param revision a revision of the history
   * @returns its content, or undefined when it is no longer kept
   */
  getRevision(revision: number): Configuration | undefined;

  /** Changes the configuration, or tries the change. */
  change(req: ChangeRequest): Promise<ChangeAnswer>;

  /** Puts an older content in force again, as a new revision. */
  restoreRevision(
    req: Operation & {
      readonly baseRevision: number;
      readonly revision: number;
      readonly dryRun: boolean;
    },
  ): Promise<ChangeAnswer>;

  /** @returns every backend server that is announced */
  listBackendServers(): readonly ServerView[];

  /** Drains a backend server, or lets it serve again. */
  setWantedState(
    req: Operation & {
      readonly backendServer: string;
      readonly wantedState: WantedState;
    },
  ): Promise<OperationAnswer>;

  issueOrder(req: OrderRequest): Promise<OrderAnswer>;

  /** @returns orders kept with their outcomes, newest first */
  listOrders(): readonly OrderView[];

  /** @returns requests that servers crashed under, quarantined or not */
  listQuarantine(): readonly SuspectView[];

  /** Lets a request run again, and forgets its crashes. */
  liftQuarantine(request: string): Promise<OperationAnswer>;

  /** @returns what each router and sidecar last said it holds */
  convergence(): readonly ConvergenceView[];

  /** @returns the consensus group as this member knows it */
  listMembers(): readonly ControlMemberView[];

  changeMembers(change: MemberChange): Promise<OperationAnswer>;

  /** @returns the member's state, bounded and without secrets */
  dump(): StateDump;
}
