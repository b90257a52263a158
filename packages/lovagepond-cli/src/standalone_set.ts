/**
 * Settings of a whole fleet that runs in one process.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {type ParsedSettings, readSettings} from '@lovagepond/process';
import {findFreePorts} from './free_ports.js';

/** Settings of every process, and the first configuration. */
export interface FleetSet {
  readonly settings: readonly ParsedSettings[];
  /** Not validated here; control validates it when it is installed. */
  readonly configuration: unknown;
}

type Sections = ParsedSettings['sections'];

const LOOPBACK_PORT = /(?<=127\.0\.0\.1:)\d+/g;
const CONFIGURATION_FILE = 'configuration.json';

/**
 * @param folder folder of settings files and a `configuration.json`
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
 * @param set a set with loopback addresses
 * @returns the set with each loopback port replaced by a free port
 */
export async function assignFreePorts(set: FleetSet): Promise<FleetSet> {
  const ports = new Set<string>();
  mapValues(set, value => {
    for (const port of value.match(LOOPBACK_PORT) ?? []) ports.add(port);
    return value;
  });
  const free = await findFreePorts(ports.size);
  const newPorts = new Map(
    [...ports].map((port, index) => [port, String(free[index])]),
  );
  return mapValues(set, value =>
    value.replace(LOOPBACK_PORT, port => newPorts.get(port) ?? port),
  );
}

/**
 * @param set a set
 * @param folder the only folder that the process writes to
 * @returns the set with a subfolder as the data folder of each role
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
