/**
 * Admission control: decides from a request's head alone whether it may be
 * forwarded.
 */
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type ErrorKind,
  type Random,
  regionCheckOf,
  type Workspace,
} from '@lovagepond/core';
import {
  type ClockReading,
  ConfigurationAuthority,
} from './gateway_authority.js';
import {type RequestFacts} from './gateway_headers.js';
import {drawPool, ForwardingRules} from './gateway_routes.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';

/** The parts of a request's head that admission depends on. */
export interface RequestHead {
  readonly host: string;
  readonly path: string;
  readonly facts: RequestFacts;
}

export type Admission =
  | {
      readonly ok: true;
      readonly admitted: Pick<
        AdmittedRequest,
        | 'rule'
        | 'pool'
        | 'workspace'
        | 'isRegionAllowed'
        | 'priority'
        | 'arrivedAt'
        | 'deadlineAt'
      >;
    }
  | {readonly ok: false; readonly error: ErrorKind};

type KeyVerdict =
  | {
      readonly ok: true;
      readonly workspace: Workspace | undefined;
    }
  | {readonly ok: false; readonly error: ErrorKind};

/** The parts of an admitted request that its key's validity depends on. */
export type KeyedRequest = Pick<
  AdmittedRequest,
  'facts' | 'workspace' | 'rule' | 'path'
>;

/** Admits or rejects requests by the installed configuration. */
export class GatewayAdmission {
  readonly authority: ConfigurationAuthority;
  readonly #random: Random;
  #configuration = EMPTY_CONFIGURATION;
  #serversKnown = false;
  #rules = new ForwardingRules(EMPTY_CONFIGURATION);

  /**
   * @param boundMs longest time for which a removed API key may still be
   *     accepted, milliseconds
   * @param random draws pools by their weights
   */
  constructor(boundMs: number, random: Random) {
    this.authority = new ConfigurationAuthority(boundMs);
    this.#random = random;
  }

  get configuration(): Configuration {
    return this.#configuration;
  }

  /** @param configuration installed if it is newer than the current one */
  install(configuration: Configuration): void {
    if (configuration.revision <= this.#configuration.revision) return;
    this.#configuration = configuration;
    this.#rules = new ForwardingRules(configuration);
    this.authority.noteInstalled(configuration.revision);
  }

  /** Records that the list of backend servers has arrived. */
  noteServersKnown(): void {
    this.#serversKnown = true;
  }

  /**
   * @param at current time
   * @returns true while no request can be decided on, as the list of servers is
   *     missing or the configuration is unconfirmed
   */
  isStarting(at: ClockReading): boolean {
    return !this.#serversKnown || !this.authority.trustsKeys(at);
  }

  /**
   * @param head a request's head
   * @param arrivedAt when it arrived, monotonic milliseconds
   * @param at current time
   * @returns the matching rule with pool, workspace and deadline, or the reason
   *     for the rejection
   */
  admit(head: RequestHead, arrivedAt: number, at: ClockReading): Admission {
    const {host, path, facts} = head;
    const rule = this.#rules.find(host, path);
    // The route may exist in a newer configuration than the installed one.
    if (!rule) return this.#deny('notFound', at);
    const key = this.#checkKey(rule.isPublic, facts.apiKey, at);
    if (!key.ok) return key;
    const pool = drawPool(rule.pools, this.#random);
    if (!pool) return {ok: false, error: 'noBackendServer'};
    const {timeoutMs, priority} = rule.forwarding;
    const waitMs = Math.min(facts.deadlineMs ?? timeoutMs, timeoutMs);
    return {
      ok: true,
      admitted: {
        rule,
        pool,
        workspace: key.workspace?.name,
        isRegionAllowed: regionCheckOf(
          rule.allowedRegions,
          key.workspace?.allowedRegions,
        ),
        priority: key.workspace?.requestPriority ?? priority,
        arrivedAt,
        deadlineAt: arrivedAt + waitMs,
      },
    };
  }

  /**
   * @param req a request that was admitted by this or an earlier configuration
   * @param at current time
   * @returns the error to send if its key has been removed since, or given to
   *     another workspace, or if it needed none and does now
   */
  refusalOfKey(
    {facts, workspace, rule, path}: KeyedRequest,
    at: ClockReading,
  ): ErrorKind | undefined {
    const {isPublic} = this.#rules.find(rule.host, path) ?? rule;
    if (isPublic || !this.#rules.needsKeys) return undefined;
    const owner = this.#rules.workspaceOf(facts.apiKey);
    if (owner && owner.name === workspace) return undefined;
    // A valid key that was not needed at the admission is checked in a retry.
    if (owner && workspace === undefined) return 'notReady';
    return this.#deny('unauthorized', at).error;
  }

  #checkKey(isPublic: boolean, key: string, at: ClockReading): KeyVerdict {
    if (isPublic || !this.#rules.needsKeys) {
      return {ok: true, workspace: undefined};
    }
    if (!this.authority.trustsKeys(at)) return {ok: false, error: 'notReady'};
    const workspace = this.#rules.workspaceOf(key);
    if (!workspace) return this.#deny('unauthorized', at);
    return {ok: true, workspace};
  }

  #deny(
    error: ErrorKind,
    at: ClockReading,
  ): {readonly ok: false; readonly error: ErrorKind} {
    const canDeny = this.authority.canDeny(at);
    return {ok: false, error: canDeny ? error : 'notReady'};
  }
}
