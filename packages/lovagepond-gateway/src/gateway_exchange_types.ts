/**
 * The inputs of an exchange.
 */
import {
  type Clock,
  type Logger,
  type Pool,
  type RegionCheck,
  type RequestSubjects,
} from '@lovagepond/core';
import {type GatewayChoice} from './gateway_choice.js';
import {type GatewayConnections} from './gateway_connections.js';
import {type GatewayCounters} from './gateway_counters.js';
import {type GatewayDrainAdmission} from './gateway_drain_admission.js';
import {type GatewayFleet} from './gateway_fleet.js';
import {type GatewayHeaderNames, type RequestFacts} from './gateway_headers.js';
import {type GatewayOverload} from './gateway_overload.js';
import {type PrefillTrackerDependencies} from './gateway_prefill_tracker.js';
import {type GatewayPermits} from './gateway_permits.js';
import {type GatewayQuarantine} from './gateway_quarantine.js';
import {type GatewayRetries} from './gateway_retries.js';
import {type ForwardingRule} from './gateway_routes.js';
import {type SendConditions} from './gateway_send_conditions.js';
import {type StreamOrigin} from './gateway_stream_origin.js';
import {type ServerLiveness} from './gateway_server_liveness.js';
import {type GatewayStreams} from './gateway_streams.js';
import {type GatewayWarmUp} from './gateway_warm_up.js';

/** Dependencies shared by all exchanges. */
export interface ExchangeDependencies extends PrefillTrackerDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  readonly names: GatewayHeaderNames;
  readonly fleet: GatewayFleet;
  readonly choice: GatewayChoice;
  readonly retries: GatewayRetries;
  readonly connections: GatewayConnections;
  readonly quarantine: GatewayQuarantine;
  readonly liveness: ServerLiveness;
  readonly warmUp: GatewayWarmUp;
  readonly permits: GatewayPermits;
  readonly counters: GatewayCounters;
  readonly overload: GatewayOverload;
  readonly conditions: SendConditions;
  /** Records how long responses take. */
  readonly durations: Pick<GatewayDrainAdmission, 'noteAnswered'>;
  readonly streams: Pick<GatewayStreams, 'record' | 'find'>;
}

/** A request that was read completely and admitted. */
export interface AdmittedRequest {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Identical for each repetition of the request. */
  readonly fingerprint: string;
  /** What the crash of a server that runs the request can be blamed on. */
  readonly subjects: RequestSubjects;
  readonly facts: RequestFacts;
  readonly rule: ForwardingRule;
  readonly pool: Pool;
  /** The servers that can continue the stream that the caller resumes. */
  readonly origin?: StreamOrigin;
  /** Absent on public routes. */
  readonly workspace: string | undefined;
  /** Whether the request may run in a region. */
  readonly isRegionAllowed: RegionCheck;
  /** 0 (lowest) to 9. */
  readonly priority: number;
  /** When the request arrived, monotonic milliseconds. */
  readonly arrivedAt: number;
  /** The request's deadline, monotonic milliseconds. */
  readonly deadlineAt: number;
}
