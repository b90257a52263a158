import {describe, expect, it} from 'vitest';
import {ReadingReportLog} from '../../reading_report_log.js';

const reading = (
  prefix: string,
): {
  backendServer: string;
  prefix: string;
  tokens: number;
} => ({backendServer: 's', prefix, tokens: 700});

describe('ReadingBoard', () => {
  // Gateways tell their numbers of requests many times a second. A gateway that
  // starts later has to hear which prompts are warm all the same: it would have
  // them read anew elsewhere.
  it('remembers readings behind any number of reports without one', () => {
    const board = new ReadingReportLog();
    expect(board.isEmpty).toBe(true);
    for (let at = 0; at < 3_000; at += 1) {
      const running = [{backendServer: 's', requests: at, ended: 0, failed: 0}];
      board.add({node: 'g', readings: [], running});
    }
    expect(board.isEmpty).toBe(true);
    board.add({node: 'g', readings: [reading('/a')], running: []});
    for (let at = 0; at < 3_000; at += 1) {
      const running = [{backendServer: 's', requests: at, ended: 0, failed: 0}];
      board.add({node: 'g', readings: [], running});
    }
    expect(board.isEmpty).toBe(false);
    expect(board.history()).toEqual([
      {node: '', readings: [{...reading('/a'), tokens: 0}], running: []},
    ]);
  });

  it('gives a subscriber what came after its last report', () => {
    const board = new ReadingReportLog();
    for (let at = 0; at < 2_500; at += 1) {
      board.add({node: `${at}`, readings: [], running: []});
    }
    const nodes = board.since(2_497).map(({node}) => node);
    expect(nodes).toEqual(['2497', '2498', '2499']);
    expect(board.since(2_500)).toEqual([]);
  });

  it('forgets the oldest readings', () => {
    const board = new ReadingReportLog();
    for (let at = 0; at < 10_000; at += 1) {
      board.add({node: 'g', readings: [reading(`/${at}`)], running: []});
    }
    const [all] = board.history();
    expect(all?.readings).toHaveLength(2_048);
    expect(all?.readings.at(-1)?.prefix).toBe('/9999');
  });
});
