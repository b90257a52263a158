/**
 * What the crash of a server can be blamed on: a whole request, or a part that
 * the prompts of different requests share.
 */

/**
 * Identifies a subject: the fingerprint of a request's content, or a part of
 * prompts with {@link PART_PREFIX}.
 */
export type CrashSubject = string;

/** The subjects of one request; its fingerprint is the first one. */
export type RequestSubjects = readonly CrashSubject[];

const PART_PREFIX = 'part:';

/** Length above which an id can't be a subject. */
const MAX_PART_ID = 64;

/** Parts of one prompt that are subjects; the last ones. */
const MAX_PARTS = 32;

/**
 * @param id a part's id
 * @returns its subject
 */
export function toPartSubject(id: string): CrashSubject {
  return PART_PREFIX + id;
}

/**
 * @param subject a subject
 * @returns the id of the part; undefined if the subject is a whole request
 */
export function partIdOf(subject: CrashSubject): string | undefined {
  return subject.startsWith(PART_PREFIX)
    ? subject.slice(PART_PREFIX.length)
    : undefined;
}

/**
 * The last part belongs to one request or chat, which its fingerprint stands
 * for.
 *
 * @param fingerprint identifies the request's content
 * @param partIds ids of all parts of its prompt, in order
 * @returns the request's subjects
 */
export function toRequestSubjects(
  fingerprint: string,
  partIds: readonly string[],
): RequestSubjects {
  const shared = partIds.slice(0, -1).filter(id => id.length <= MAX_PART_ID);
  const parts = new Set(shared.slice(-MAX_PARTS).map(toPartSubject));
  return [fingerprint, ...parts];
}
