/**
 * The placement policies by name.
 */
import {type PlacementPolicyFactory} from './router_placement.js';
import {
  BoundedRendezvousPolicy,
  CostScorePolicy,
  HoldAndTakePolicy,
  PointersPolicy,
  RendezvousPolicy,
} from './router_placement_rendezvous.js';
import {
  LeastLoadedPolicy,
  RoundRobinPolicy,
  TwoChoicesPolicy,
} from './router_placement_simple.js';

export const PLACEMENT_POLICIES = {
  roundRobin: () => new RoundRobinPolicy(),
  rendezvous: hasher => new RendezvousPolicy(hasher),
  leastLoaded: () => new LeastLoadedPolicy(),
  twoChoices: () => new TwoChoicesPolicy(),
  boundedRendezvous: hasher => new BoundedRendezvousPolicy(hasher),
  pointers: hasher => new PointersPolicy(hasher),
  costScore: hasher => new CostScorePolicy(hasher),
  holdAndTake: hasher => new HoldAndTakePolicy(hasher),
} as const satisfies Record<string, PlacementPolicyFactory>;

export type PlacementPolicyName = keyof typeof PLACEMENT_POLICIES;

/** The policy that a router uses unless its settings name another. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicyName = 'holdAndTake';
