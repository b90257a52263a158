/**
 * Settings of a whole fleet, as one process runs it.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {type ParsedSettings, readSettings} from '@lovagepond/process';
import {findFreePorts} from './free_ports.js';

/** Settings of every process, with the configuration they start with. */
export interface FleetSet {
  readonly settings: readonly ParsedSettings[];
  /** Checked by control when it is put in force. */
  readonly configuration: unknown;
}

type Sections = ParsedSettings['sections'];

const LOOPBACK_PORT = /(?<=127\.0\.0\.1:)\d+/g;
const CONFIGURATION_FILE = 'configuration.json';

/**
 * @param folder a folder of settings files with a `configuration.json`
 * @returns the set
 */
export function readSetFolder(folder: string): FleetSet {
  const files = readdirSync(folder).filter(name => name.endsWith('.ini'));
  const configuration = readFileSync(join(folder, CONFIGURATION_FILE), 'utf8');
  return {
    settings: files.map(name => readSettings(join(folder, name))),
    configuration: JSON.parse(configuration) as unknown,
  };
}

function mapValues(
  {settings, configuration}: FleetSet,
  change: (value: string) => string,
): FleetSet {
  const changeSections = (sections: Sections): Sections =>
    Object.fromEntries(
      Object.entries(sections).map(([section, keys]) => [
        section,
        Object.fromEntries(
          Object.entries(keys).map(([key, value]) => [key, change(value)]),
        ),
      ]),
    );
  return {
    configuration,
    settings: settings.map(one => ({
      ...one,
      sections: changeSections(one.sections),
    })),
  };
}

/**
 * @param set a set on loopback addresses
 * @returns the same set with a free port in place of each of its ports
 */
export async function assignFreePorts(set: FleetSet): Promise<FleetSet> {
  const ports = new Set<string>();
  mapValues(set, value => {
    for (const port of value.match(LOOPBACK_PORT) ?? []) ports.add(port);
    return value;
  });
  const free = await findFreePorts(ports.size);
  const moved = new Map(
    [...ports].map((port, index) => [port, String(free[index])]),
  );
  return mapValues(set, value =>
    value.replace(LOOPBACK_PORT, port => moved.get(port) ?? port),
  );
}

/**
 * @param set a set
 * @param folder the only folder that the process writes to
 * @returns the set with a folder in it for each role
 */
export function assignDataFolders(set: FleetSet, folder: string): FleetSet {
  return {
    ...set,
    settings: set.settings.map(one => {
      const name = one.sections['process']?.['name'] ?? one.file;
      const dataFolder = join(folder, name);
      const platform = {...one.sections['platform'], dataFolder};
      return {...one, sections: {...one.sections, platform}};
    }),
  };
}
