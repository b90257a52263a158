/**
 * Checks of a configuration that an operator submits.
 */
import {
  type ConfigurationContent,
  configurationSchema,
} from './core_configuration.js';

/** One fault in a configuration, with its place. */
export interface ConfigurationFault {
  /** For example `selectors[2].pools`. */
  readonly place: string;
  readonly message: string;
}

/** A valid configuration, or all of its faults. */
export type ConfigurationCheck =
  | {readonly ok: true; readonly content: ConfigurationContent}
  | {readonly ok: false; readonly faults: readonly ConfigurationFault[]};

function formatPlace(path: readonly PropertyKey[]): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? String(part) : `.${String(part)}`;
    })
    .join('');
}

function findDuplicateNames(
  section: string,
  items: readonly {readonly name: string}[],
): ConfigurationFault[] {
  const seen = new Set<string>();
  const faults: ConfigurationFault[] = [];
  items.forEach((item, index) => {
    if (seen.has(item.name)) {
      const place = `${section}[${index}].name`;
      faults.push({place, message: `"${item.name}" stands twice`});
    }
    seen.add(item.name);
  });
  return faults;
}

/** With two equal matches, the choice would depend on the selectors' order. */
function findDuplicateMatches(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const seen = new Set<string>();
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach(({match}, index) => {
    if (!match) return;
    const text = `${match.host.toLowerCase()} ${match.pathPrefix}`;
    if (seen.has(text)) {
      const place = `selectors[${index}].match`;
      faults.push({
        place,
        message: `"${text}" stands twice`,
      });
    }
    seen.add(text);
  });
  return faults;
}

function findInvalidWeights(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const pools = new Set(content.pools.map(item => item.name));
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach(({poolWeights}, index) => {
    if (!poolWeights) return;
    const place = `selectors[${index}].poolWeights`;
    for (const {pool} of poolWeights) {
      if (pools.has(pool)) continue;
      faults.push({place, message: `no pool is named "${pool}"`});
    }
    const total = poolWeights.reduce((sum, {weight}) => sum + weight, 0);
    if (total <= 0) faults.push({place, message: 'the weights add up to 0'});
  });
  return faults;
}

/** An API key must identify one workspace. */
function findSharedApiKeys(
  content: ConfigurationContent,
): ConfigurationFault[] {
  const owners = new Map<string, string>();
  const faults: ConfigurationFault[] = [];
  content.workspaces.forEach(({name: owner, apiKeys}, index) => {
    for (const key of apiKeys ?? []) {
      const other = owners.get(key) ?? owner;
      owners.set(key, owner);
      if (other === owner) continue;
      const place = `workspaces[${index}].apiKeys`;
      faults.push({
        place,
        message: `a key is that of "${other}" too`,
      });
    }
  });
  return faults;
}

function findUnknownNames(content: ConfigurationContent): ConfigurationFault[] {
  const known = new Set(content.workspaces.map(item => item.name));
  const kinds = new Set(content.requestKinds.map(item => item.name));
  const faults: ConfigurationFault[] = [];
  content.selectors.forEach((item, index) => {
    for (const wanted of item.workspaces) {
      if (wanted === '*' || known.has(wanted)) continue;
      const place = `selectors[${index}].workspaces`;
      faults.push({place, message: `no workspace is named "${wanted}"`});
    }
    for (const wanted of item.requestKinds) {
      if (wanted === '*' || kinds.has(wanted)) continue;
      const place = `selectors[${index}].requestKinds`;
      faults.push({place, message: `no request kind is named "${wanted}"`});
    }
  });
  return faults;
}

/**
 * @param input parsed JSON from an operator
 * @returns the content with defaults filled in, or all faults with their places
 */
export function checkConfiguration(input: unknown): ConfigurationCheck {
  const parsed = configurationSchema.safeParse(input);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(issue => ({
      place: formatPlace(issue.path),
      message: issue.message,
    }));
    return {ok: false, faults};
  }
  const content = parsed.data;
  const faults = [
    ...findDuplicateNames('pools', content.pools),
    ...findDuplicateNames('selectors', content.selectors),
    ...findDuplicateNames('workspaces', content.workspaces),
    ...findDuplicateNames('requestKinds', content.requestKinds),
    ...findUnknownNames(content),
    ...findDuplicateMatches(content),
    ...findInvalidWeights(content),
    ...findSharedApiKeys(content),
  ];
  return faults.length > 0 ? {ok: false, faults} : {ok: true, content};
}
