/**
 * Encodes and decodes requests for permits.
 */
import {type lovagepond} from '@lovagepond/protocol';
import {encodeDatagram} from './gateway_peer_datagrams.js';
import {type PermitRequest} from './gateway_permit_issuer.js';

/** @returns the datagram's bytes */
export function encodeRequest(permitRequest: PermitRequest): Uint8Array {
  return encodeDatagram({permitRequest});
}

/** @returns the request, with zeros for what it doesn't say */
export function readRequest({
  server,
  sequence,
  held,
  limit,
  refusedMsAgo,
  lostMsAgo,
}: lovagepond.v1.PermitRequest.$Properties): PermitRequest {
  return {
    server: {low: server?.low ?? 0, high: server?.high ?? 0},
    sequence: sequence ?? 0,
    held: held ?? 0,
    limit: limit ?? 0,
    refusedMsAgo: refusedMsAgo ?? 0,
    lostMsAgo: lostMsAgo ?? 0,
  };
}
