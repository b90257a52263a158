/**
 * Types of the placement simulation: variants, settings, and the interface
 * between routers and servers.
 */
import {type ErrorKind} from '@lovagepond/core';
import {type PlacementSettings} from '@lovagepond/router';
import {type Arrival} from './placement_workload.js';
import {type SimulatedEngineSettings} from './simulated_engine.js';

/** A placement policy with the mechanisms that support it. */
export interface PlacementVariant {
  readonly name: string;
  /** Name of a production policy, or of the oracle. */
  readonly policy: string;
  /** Sidecars enforce the load bound and queue excess requests. */
  readonly gated: boolean;
  /** The first choice of a chat keeps a pointer to the server that served it. */
  readonly pointers: boolean;
  /** Sidecars with free capacity take queued requests from others. */
  readonly take: boolean;
  /** A draining server's most recent KV caches are moved. */
  readonly moveCache: boolean;
  /** Membership, loads and caches are known exactly and without delay. */
  readonly exact: boolean;
}

/** The deployment and its churn. */
export interface PlacementSimulationSettings {
  readonly seed: number;
  readonly endMs: number;
  /** End of the warm-up; earlier requests and loads aren't counted. */
  readonly warmUpMs: number;
  readonly servers: number;
  readonly routers: number;
  readonly engine: SimulatedEngineSettings;
  /** Tokens that an engine may always run, however low the mean load is. */
  readonly floorTokens: number;
  readonly pool: PlacementSettings;
  /** Time between two replacements of a server; 0 means none. */
  readonly replaceEveryMs: number;
  /** Time between two temporary delistings of a server; 0 means none. */
  readonly flapEveryMs: number;
  /** Maximum delay until a router receives a membership change. */
  readonly maxListLagMs: number;
}

/** One attempt of a request at one sidecar. */
export interface Attempt {
  readonly attemptId: string;
  readonly arrival: Arrival;
  readonly firstChoice: string;
  readonly warmCandidates: readonly string[];
  readonly handOvers: number;
  readonly owner: AttemptOwner;
  /** The first token has reached the caller. */
  streaming: boolean;
}

/** The router's side of an attempt. */
export interface AttemptOwner {
  refused(attempt: Attempt, kind: ErrorKind, pointer: string): void;
  firstToken(attempt: Attempt, cachedTokens: number): void;
  done(attempt: Attempt): void;
  /** The server crashed during the attempt. */
  lost(attempt: Attempt): void;
  /** A frame from the server reported its load. */
  observed(backendServer: string, tokens: number): void;
}

/**
 * @param arrival a request
 * @returns its load: the sum of its prompt and answer tokens
 */
export function workOfArrival(arrival: Arrival): number {
  return arrival.promptTokens + arrival.answerTokens;
}

/**
 * @param arrival a request
 * @returns the key of its chat in an engine's prefix cache
 */
export function chatKeyOf(arrival: Arrival): string {
  return `${arrival.workspace}\u0000${arrival.chat}`;
}

/** One-way latency between two processes, milliseconds. */
export const HOP_MS = 1;
