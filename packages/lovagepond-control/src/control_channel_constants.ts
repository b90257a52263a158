/**
 * gRPC channel options for connections between lovagepond's processes.
 */
import {type ChannelOptions} from '@grpc/grpc-js';

/**
 * A connection can stop delivering data without an error while new connections
 * work. Pings detect this, and a new connection replaces it.
 */
const KEEPALIVE: ChannelOptions = {
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 3_000,
  'grpc.keepalive_permit_without_calls': 1,
};

/** Channel diagnostics cost processor time at each call and aren't used. */
const LOW_OVERHEAD: ChannelOptions = {'grpc.enable_channelz': 0};

export const SERVER_OPTIONS: ChannelOptions = {
  ...KEEPALIVE,
  ...LOW_OVERHEAD,
  'grpc.max_receive_message_length': 16 * 1024 * 1024,
};

/**
 * Options of a client of another control member. gRPC's retries are disabled:
 * they cost processor time at each call, and calls are repeated with newer
 * content anyway.
 */
export const CLIENT_OPTIONS: ChannelOptions = {
  ...KEEPALIVE,
  ...LOW_OVERHEAD,
  'grpc.enable_http_proxy': 0,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};
