/**
 * The gRPC services that lovagepond's own processes offer each other.
 *
 * Each method has a path and the generated codecs of its request and response.
 * The paths are part of the protocol, and their meaning never changes.
 */
import './protocol_integers.js';
import {type MethodDefinition} from '@grpc/grpc-js';
import {lovagepond} from './generated/lovagepond.js';

const v1 = lovagepond.v1;

/** The generated message classes. */
export {lovagepond} from './generated/lovagepond.js';

/** The codec of a message: its generated class. */
interface Codec<Message> {
  encode(message: Message): {finish(): Uint8Array};
  decode(bytes: Uint8Array): Message;
}

function makeMethod<Req extends object, Res extends object>(
  path: string,
  request: Codec<Req>,
  response: Codec<Res>,
  responseStream: boolean,
): MethodDefinition<Req, Res> {
  return {
    path: `/lovagepond.v1.${path}`,
    requestStream: false,
    responseStream,
    requestSerialize: message => Buffer.from(request.encode(message).finish()),
    requestDeserialize: bytes => request.decode(bytes),
    responseSerialize: message =>
      Buffer.from(response.encode(message).finish()),
    responseDeserialize: bytes => response.decode(bytes),
  };
}

/** The sidecars' service, for routers and other sidecars. */
export const SIDECAR_SERVICE = {
  attempt: makeMethod(
    'Sidecar/Attempt',
    v1.AttemptRequest,
    v1.AttemptFrame,
    true,
  ),
  revoke: makeMethod(
    'Sidecar/Revoke',
    v1.RevokeRequest,
    v1.RevokeResponse,
    false,
  ),
  probe: makeMethod('Sidecar/Probe', v1.ProbeRequest, v1.ProbeResponse, false),
  install: makeMethod(
    'Sidecar/Install',
    v1.InstallRequest,
    v1.InstallResponse,
    false,
  ),
  moveCache: makeMethod(
    'Sidecar/MoveCache',
    v1.MoveCacheRequest,
    v1.MoveCacheResponse,
    false,
  ),
  point: makeMethod(
    'Sidecar/Point',
    v1.PointerRequest,
    v1.PointerResponse,
    false,
  ),
  take: makeMethod('Sidecar/Take', v1.TakeRequest, v1.TakeResponse, false),
} as const;

/** The service of control, for routers and sidecars. */
export const CONTROL_SERVICE = {
  reportReadings: makeMethod(
    'Control/ReportReadings',
    v1.ReadingReport,
    v1.ReadingResponse,
    false,
  ),
  reportCrashes: makeMethod(
    'Control/ReportCrashes',
    v1.CrashReport,
    v1.CrashReportResponse,
    false,
  ),
  requestRetries: makeMethod(
    'Control/RequestRetries',
    v1.RetryRequest,
    v1.RetryResponse,
    false,
  ),
  readStreamHistory: makeMethod(
    'Control/ReadStreamHistory',
    v1.StreamHistoryRequest,
    v1.StreamHistoryResponse,
    false,
  ),
  announce: makeMethod(
    'Control/Announce',
    v1.AnnounceRequest,
    v1.AnnounceResponse,
    false,
  ),
  subscribe: makeMethod(
    'Control/Subscribe',
    v1.SubscribeRequest,
    v1.ControlUpdate,
    true,
  ),
  reportConvergence: makeMethod(
    'Control/ReportConvergence',
    v1.ConvergenceReport,
    v1.ConvergenceResponse,
    false,
  ),
  claim: makeMethod('Control/Claim', v1.ClaimRequest, v1.ClaimResponse, false),
  record: makeMethod(
    'Control/Record',
    v1.RecordRequest,
    v1.RecordResponse,
    false,
  ),
  reportOrder: makeMethod(
    'Control/ReportOrder',
    v1.OrderOutcome,
    v1.OrderOutcomeResponse,
    false,
  ),
} as const;

/** The service between the members of control. */
export const CONSENSUS_SERVICE = {
  deliver: makeMethod(
    'Consensus/Deliver',
    v1.ConsensusMessage,
    v1.ConsensusAck,
    false,
  ),
  propose: makeMethod(
    'Consensus/Propose',
    v1.ProposeRequest,
    v1.ProposeResponse,
    false,
  ),
} as const;
