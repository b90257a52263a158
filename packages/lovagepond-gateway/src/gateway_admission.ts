/**
 * Decides whether a forwarded request may run, from its head alone.
 */
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  type ErrorKind,
  type Random,
} from '@lovagepond/core';
import {
  type ClockReading,
  ConfigurationAuthority,
} from './gateway_authority.js';
import {type RequestFacts} from './gateway_headers.js';
import {drawPool, ForwardingRules} from './gateway_routes.js';
import {type AdmittedRequest} from './gateway_exchange_types.js';

/** A request's head. */
export interface RequestHead {
  readonly host: string;
  readonly path: string;
  readonly facts: RequestFacts;
}

/** What is decided from a head. */
export type Admission =
  | {
      readonly ok: true;
      readonly admitted: Pick<
        AdmittedRequest,
        'rule' | 'pool' | 'workspace' | 'priority' | 'arrivedAt' | 'deadlineAt'
      >;
    }
  | {readonly ok: false; readonly error: ErrorKind};

type KeyVerdict =
  | {
      readonly ok: true;
      readonly workspace: string | undefined;
      readonly priority: number | undefined;
    }
  | {readonly ok: false; readonly error: ErrorKind};

/** Holds the configuration in force and what may be said by it. */
export class GatewayAdmission {
  readonly authority: ConfigurationAuthority;
  readonly #random: Random;
  #configuration = EMPTY_CONFIGURATION;
  #serversKnown = false;
  #rules = new ForwardingRules(EMPTY_CONFIGURATION);

  /**
   * @param boundMs a removed key's longest use after its removal
   * @param random draws pools by their weights
   */
  constructor(boundMs: number, random: Random) {
    this.authority = new ConfigurationAuthority(boundMs);
    this.#random = random;
  }

  /** The configuration in force here. */
  get configuration(): Configuration {
    return this.#configuration;
  }

  /** @param configuration a newer configuration */
  install(configuration: Configuration): void {
    if (configuration.revision <= this.#configuration.revision) return;
    this.#configuration = configuration;
    this.#rules = new ForwardingRules(configuration);
    this.authority.noteInstalled(configuration.revision);
  }

  /** Called once the list of backend servers is known. */
  noteServersKnown(): void {
    this.#serversKnown = true;
  }

  /**
   * @param at present time
   * @returns true while this process knows too little to decide on requests
   */
  isStarting(at: ClockReading): boolean {
    return !this.#serversKnown || !this.authority.trustsKeys(at);
  }

  /**
   * @param head a request's head
   * @param arrivedAt when it arrived, monotonic milliseconds
   * @param at present time
   * @returns the rule it runs under, or why it can't run
   */
  admit(head: RequestHead, arrivedAt: number, at: ClockReading): Admission {
    const {host, path, facts} = head;
    const rule = this.#rules.find(host, path);
    // What isn't known here may have been added where this process can't see.
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
        workspace: key.workspace,
        priority: key.priority ?? priority,
        arrivedAt,
        deadlineAt: arrivedAt + waitMs,
      },
    };
  }

  #checkKey(isPublic: boolean, key: string, at: ClockReading): KeyVerdict {
    if (isPublic || !this.#rules.needsKeys) {
      return {ok: true, workspace: undefined, priority: undefined};
    }
    if (!this.authority.trustsKeys(at)) return {ok: false, error: 'notReady'};
    const workspace = this.#rules.workspaceOf(key);
    if (!workspace) return this.#deny('unauthorized', at);
    const {name, requestPriority} = workspace;
    return {ok: true, workspace: name, priority: requestPriority};
  }

  #deny(
    error: ErrorKind,
    at: ClockReading,
  ): {readonly ok: false; readonly error: ErrorKind} {
    const canDeny = this.authority.canDeny(at);
    return {ok: false, error: canDeny ? error : 'notReady'};
  }
}
