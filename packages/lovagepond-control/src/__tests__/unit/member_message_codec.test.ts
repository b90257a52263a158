import {type TransportMessage} from '@lovagepond/consensus';
import {CONSENSUS_SERVICE} from '@lovagepond/protocol';
import {expect, test} from 'vitest';
import {
  decodeMemberMessage,
  encodeMemberMessage,
} from '../../member_message_codec.js';

const ENVELOPE = {from: 'a', fromAddress: 'a:1', to: 'b', term: 2 ** 40};
const MESSAGES: TransportMessage[] = [
  {
    kind: 'hello',
    from: 'a',
    fromAddress: 'a:1',
    blank: true,
    joins: true,
    observer: false,
    round: 1,
  },
  {...ENVELOPE, kind: 'voteReply', granted: true},
  {
    ...ENVELOPE,
    kind: 'append',
    prevIndex: 4,
    prevTerm: 1,
    entries: [
      {index: 5, term: 1, kind: 'command', data: Buffer.from([0, 255])},
      {index: 6, term: 2, kind: 'noop', data: Buffer.from([])},
    ],
    commitIndex: 4,
    round: 9,
  },
  {
    ...ENVELOPE,
    kind: 'snapshotChunk',
    snapshotIndex: 3,
    snapshotTerm: 1,
    members: [{id: 'a', address: 'a:1', voter: true}],
    offset: 0,
    totalBytes: 2,
    data: Buffer.from([7, 8]),
    round: 9,
  },
];

test.each(MESSAGES)('a $kind message is decoded unchanged', message => {
  const {requestSerialize, requestDeserialize} = CONSENSUS_SERVICE.deliver;
  const bytes = requestSerialize(encodeMemberMessage(message));
  const decoded = decodeMemberMessage(requestDeserialize(bytes));
  expect(decoded).toMatchObject(message);
});

test('a malformed message is rejected', () => {
  expect(decodeMemberMessage({head: new Uint8Array([123])})).toBeUndefined();
  const head = Buffer.from('{"kind":"append","entries":[{"index":1}]}');
  expect(decodeMemberMessage({head, payloads: []})).toBeUndefined();
});

// Guards against a reply to an address at which the library throws, which would
// end the member.
test.each([undefined, '', '127.0.0.1:70000', 7])(
  'a message from the address %j is malformed',
  fromAddress => {
    const message = {...MESSAGES[1], fromAddress} as TransportMessage;
    expect(decodeMemberMessage(encodeMemberMessage(message))).toBeUndefined();
  },
);
