/**
 * Answer text of a fake engine. It is derived from the request id, so that a
 * mixed-up, truncated or duplicated answer is detected by its text alone.
 */

const WORDS = [
  'amber',
  'birch',
  'cedar',
  'delta',
  'ember',
  'fjord',
  'grove',
  'heath',
  'inlet',
  'juniper',
  'kelp',
  'larch',
  'moss',
  'north',
  'ocean',
  'pine',
] as const;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/**
 * @param requestId the request's id
 * @param index position of the token, from 0
 * @returns the token's text, which includes the position
 */
export function fakeToken(requestId: string, index: number): string {
  const word = WORDS[hashText(`${requestId}#${index}`) % WORDS.length] ?? '';
  return `${word}${index} `;
}

/**
 * @param requestId the request's id
 * @param tokens length of the answer
 * @returns the complete text of an answer without faults
 */
export function fakeAnswerText(requestId: string, tokens: number): string {
  const parts = Array.from({length: tokens}, (_, index) =>
    fakeToken(requestId, index),
  );
  return parts.join('');
}
