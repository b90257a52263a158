/**
 * Encodes and decodes consensus messages: the head as JSON, and the bytes of
 * entries and snapshot chunks as separate fields.
 */
import {type LogEntry, type TransportMessage} from '@lovagepond/consensus';
import {parseSocketAddress} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';

const {v1} = lovagepond;

type WireMessage = lovagepond.v1.ConsensusMessage.$Properties;
type EntryHead = Omit<LogEntry, 'data'>;

/** A message without the bytes of its entries or snapshot chunk. */
type Head = Record<string, unknown> & {
  readonly entries?: readonly EntryHead[];
  readonly hasData?: boolean;
};

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/**
 * @param message a message of the consensus package
 * @returns the protocol message
 */
export function encodeMemberMessage(
  message: TransportMessage,
): lovagepond.v1.ConsensusMessage {
  const {head, payloads} = splitMessage(message);
  return new v1.ConsensusMessage({
    from: message.from,
    to: 'to' in message ? message.to : '',
    term: 'term' in message ? message.term : 0,
    head: encoder.encode(JSON.stringify(head)),
    payloads,
    takesReply: true,
  });
}

/**
 * @param wire the decoded protocol message
 * @returns the consensus message; undefined if the head is malformed or names no
 *     address to reply to
 */
export function decodeMemberMessage(
  wire: WireMessage,
): TransportMessage | undefined {
  const head = parseHead(wire.head ?? new Uint8Array());
  if (!head || !hasAddress(head)) return undefined;
  const payloads = wire.payloads ?? [];
  if (head.entries) {
    if (head.entries.length !== payloads.length) return undefined;
    const entries = head.entries.map((entry, index) => ({
      ...entry,
      data: payloads[index],
    }));
    return {...head, entries} as unknown as TransportMessage;
  }
  if (!head.hasData) return head as unknown as TransportMessage;
  return {...head, data: payloads[0]} as unknown as TransportMessage;
}

function hasAddress({fromAddress}: Head): boolean {
  return (
    typeof fromAddress === 'string' &&
    parseSocketAddress(fromAddress) !== undefined
  );
}

function splitMessage(message: TransportMessage): {
  readonly head: Head;
  readonly payloads: Uint8Array[];
} {
  if (message.kind === 'append') {
    const entries = message.entries.map(({index, term, kind}) => ({
      index,
      term,
      kind,
    }));
    const payloads = message.entries.map(entry => entry.data);
    return {head: {...message, entries}, payloads};
  }
  if (message.kind === 'snapshotChunk') {
    const {data, ...head} = message;
    return {head: {...head, hasData: true}, payloads: [data]};
  }
  return {head: {...message}, payloads: []};
}

function parseHead(bytes: Uint8Array): Head | undefined {
  try {
    return JSON.parse(decoder.decode(bytes)) as Head;
  } catch {
    return undefined;
  }
}
