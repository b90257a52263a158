/**
 * gRPC channel options between lovagepond's processes.
 */
import {type ChannelOptions} from '@grpc/grpc-js';

/**
 * A connection can go silent for good while new ones work: pings find it, and
 * a fresh connection replaces it.
 */
const KEEPALIVE: ChannelOptions = {
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.keepalive_permit_without_calls': 1,
};

/** Options of control's gRPC server. */
export const SERVER_OPTIONS: ChannelOptions = {
  ...KEEPALIVE,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
};

/** Options of a client of another control member. */
export const CLIENT_OPTIONS: ChannelOptions = {
  ...KEEPALIVE,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
};
