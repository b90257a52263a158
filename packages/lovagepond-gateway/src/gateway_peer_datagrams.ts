/**
 * Datagrams between gateways.
 */
import {lovagepond} from '@lovagepond/protocol';

const {PeerDatagram} = lovagepond.v1;

export type WirePeerDatagram = lovagepond.v1.PeerDatagram.$Properties;

/** Largest datagram that is read, bytes. */
const MAX_DATAGRAM_BYTES = 2_048;

/** @returns the datagram's bytes */
export function encodeDatagram(datagram: WirePeerDatagram): Uint8Array {
  return PeerDatagram.encode(datagram).finish();
}

/** @returns the datagram; undefined if the bytes can't be read */
export function decodeDatagram(
  bytes: Uint8Array,
): WirePeerDatagram | undefined {
  if (bytes.length > MAX_DATAGRAM_BYTES) return undefined;
  try {
    return PeerDatagram.decode(bytes);
  } catch {
    return undefined;
  }
}
