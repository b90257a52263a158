/**
 * Labels on pools and backend servers, and the expressions that match them.
 *
 * An expression is a comma-separated list of terms, all of which must match:
 * `tier=gold`, `tier!=gold`, `tier` (present), `!tier` (absent),
 * `zone in (a|b)`. The empty expression matches everything.
 */

/** Label names to values. */
export type Labels = Readonly<Record<string, string>>;

/** One parsed term of a label expression. */
export type LabelTerm =
  | {readonly kind: 'in'; readonly key: string; readonly values: string[]}
  | {readonly kind: 'notIn'; readonly key: string; readonly values: string[]}
  | {readonly kind: 'present'; readonly key: string}
  | {readonly kind: 'absent'; readonly key: string};

/** A parsed expression, or the message about its first invalid term. */
export type LabelExpression =
  | {readonly ok: true; readonly terms: readonly LabelTerm[]}
  | {readonly ok: false; readonly message: string};

const NAME = '[A-Za-z0-9_.:/-]+';
const IN_TERM = new RegExp(`^(${NAME})\\s+(not\\s+)?in\\s+\\(([^()]*)\\)$`);
const EQUAL_TERM = new RegExp(`^(${NAME})\\s*(!=|=)\\s*(${NAME})$`);
const PRESENCE_TERM = new RegExp(`^(!?)\\s*(${NAME})$`);

function parseTerm(text: string): LabelTerm | undefined {
  const within = IN_TERM.exec(text);
  if (within) {
    const values = (within[3] ?? '').split('|').map(value => value.trim());
    const kind = within[2] ? 'notIn' : 'in';
    return {kind, key: within[1] as string, values};
  }
  const equal = EQUAL_TERM.exec(text);
  if (equal) {
    const kind = equal[2] === '=' ? 'in' : 'notIn';
    return {kind, key: equal[1] as string, values: [equal[3] as string]};
  }
  const presence = PRESENCE_TERM.exec(text);
  if (presence) {
    const kind = presence[1] ? 'absent' : 'present';
    return {kind, key: presence[2] as string};
  }
  return undefined;
}

/**
 * @param text the expression, for example `tier=gold, zone in (a|b)`
 * @returns the terms, or a message that quotes the first invalid term
 */
export function parseLabelExpression(text: string): LabelExpression {
  const terms: LabelTerm[] = [];
  const parts = text.split(',').map(part => part.trim());
  if (parts.length === 1 && parts[0] === '') return {ok: true, terms};
  for (const part of parts) {
    const term = parseTerm(part);
    if (!term) return {ok: false, message: `not a label term: "${part}"`};
    terms.push(term);
  }
  return {ok: true, terms};
}

const TERM_MATCHERS: {
  readonly [Kind in LabelTerm['kind']]: (
    term: Extract<LabelTerm, {kind: Kind}>,
    labels: Labels,
  ) => boolean;
} = {
  in: (term, labels) => term.values.includes(labels[term.key] ?? ''),
  notIn: (term, labels) => !term.values.includes(labels[term.key] ?? ''),
  present: (term, labels) => labels[term.key] !== undefined,
  absent: (term, labels) => labels[term.key] === undefined,
};

/**
 * @param terms a parsed expression
 * @param labels the labels to test
 * @returns true when all terms match
 */
export function matchesLabels(
  terms: readonly LabelTerm[],
  labels: Labels,
): boolean {
  return terms.every(term => TERM_MATCHERS[term.kind](term as never, labels));
}
