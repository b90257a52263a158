/**
 * The text a fake engine answers with: a function of the request id, so that
 * a crossed, cut or doubled answer shows by its text alone.
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
 * @returns its text, with the position in it
 */
export function fakeToken(requestId: string, index: number): string {
  const word = WORDS[hashText(`${requestId}#${index}`) % WORDS.length] ?? '';
  return `${word}${index} `;
}

/**
 * @param requestId the request's id
 * @param tokens length of the answer
 * @returns the whole text, as an undisturbed answer holds it
 */
export function fakeAnswerText(requestId: string, tokens: number): string {
  const parts = Array.from({length: tokens}, (_, index) =>
    fakeToken(requestId, index),
  );
  return parts.join('');
}
