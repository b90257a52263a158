/**
 * Renders a summary as text.
 */
import {type Summary} from './explain_summary.js';

/** Causes with a row of their own; one more row sums up the others. */
const SHOWN_CAUSES = 12;

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}

function renderTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line), ''];
}

function renderCauses({causes}: Summary): string[] {
  const rows = causes
    .slice(0, SHOWN_CAUSES)
    .map(({cause, requests, share}) => [cause, `${requests}`, percent(share)]);
  const rest = causes.slice(SHOWN_CAUSES);
  if (rest.length > 0) {
    const requests = rest.reduce((sum, cause) => sum + cause.requests, 0);
    const share = rest.reduce((sum, cause) => sum + cause.share, 0);
    rows.push([`${rest.length} others`, `${requests}`, percent(share)]);
  }
  return renderTable(['not answered', 'requests', 'share'], rows);
}

/**
 * @param summary the summary
 * @returns Markdown tables: rules, causes, worst windows
 */
export function renderSummary(summary: Summary): string {
  const {ended, answered, rules, windows} = summary;
  const share = ended > 0 ? percent(answered / ended) : 'none';
  return [
    `${ended} requests ended, ${answered} answered by a server (${share})`,
    '',
    ...renderTable(
      ['rule', 'ended', 'answered', 'p50 ms', 'p99 ms'],
      rules.map(one => [
        one.rule,
        `${one.ended}`,
        `${one.answered}`,
        `${one.p50}`,
        `${one.p99}`,
      ]),
    ),
    ...renderCauses(summary),
    ...renderTable(
      ['from', 'ended', 'not answered', 'main cause'],
      windows.map(one => [
        new Date(one.startMs).toISOString(),
        `${one.ended}`,
        `${one.notAnswered}`,
        one.mainCause,
      ]),
    ),
  ].join('\n');
}
