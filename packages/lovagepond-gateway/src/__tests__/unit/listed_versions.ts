/**
 * Control's history of versions, as of the servers that a harness has listed.
 */
import {type BackendServer} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';

export type StreamHistory = lovagepond.v1.StreamHistoryResponse;

const {v1} = lovagepond;

/**
 * @param versions versions that are in service, or have gone
 * @returns a complete history without any change of selectors
 */
export function makeHistory(
  versions: readonly lovagepond.v1.ServedVersion.$Properties[],
): StreamHistory {
  return new v1.StreamHistoryResponse({
    confirmed: true,
    completeForMs: 0xffff_ffff,
    versions: versions.map(one => new v1.ServedVersion(one)),
  });
}

export class ListedVersions {
  readonly #versions = new Set<string>();

  /** @param servers the servers of a list */
  add(servers: readonly BackendServer[]): void {
    for (const {pool, labels} of servers) {
      this.#versions.add(JSON.stringify([pool, labels['version'] ?? '']));
    }
  }

  /** @returns the history with all servers that were listed */
  toHistory(): StreamHistory {
    const versions = [...this.#versions].map(text => {
      const [pool, version] = JSON.parse(text) as [string, string];
      return {pool, version};
    });
    return makeHistory(versions);
  }
}
