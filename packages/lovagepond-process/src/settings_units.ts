/**
 * Schemas for values in settings files. They parse text, often with a unit,
 * into plain values; each error message describes the expected form.
 */
import {z} from '@lovagepond/core';

const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  kB: 1_024,
  MB: 1_024 ** 2,
  GB: 1_024 ** 3,
};

const MAX_PORT = 65_535;
const PERCENT = 100;

/** An address that a process listens on or connects to. */
export interface HostPort {
  readonly host: string;
  /** For a listen address, 0 lets the operating system choose a free port. */
  readonly port: number;
}

type Parser<Value> = (text: string) => Value | undefined;

function makeTextSchema<Value>(
  parse: Parser<Value>,
  expected: string,
): z.ZodType<Value, string> {
  return z
    .string({error: `is missing; ${expected}`})
    .transform((text, context): Value => {
      const value = parse(text.trim());
      if (value !== undefined) return value;
      context.addIssue({
        code: 'custom',
        message: `"${text}" is not ${expected}`,
      });
      return z.NEVER;
    });
}

function parseQuantity(
  text: string,
  units: Readonly<Record<string, number>>,
): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s?([A-Za-z]+)$/.exec(text);
  const factor = units[match?.[2] ?? ''];
  if (!match || factor === undefined) return undefined;
  return Number(match[1]) * factor;
}

/**
 * @param text `host:port`, with an IPv6 host in brackets
 * @returns the host and port, or undefined when the text is no address
 */
export function parseHostPort(text: string): HostPort | undefined {
  const match = /^(\[[0-9a-fA-F:]+\]|[^:\s[\]]+):(\d{1,5})$/.exec(text);
  const port = Number(match?.[2]);
  if (!match?.[1] || port > MAX_PORT) return undefined;
  return {host: match[1].replace(/^\[|\]$/g, ''), port};
}

/**
 * @param address the address to format
 * @returns the address as `host:port`, with an IPv6 host in brackets
 */
export function formatHostPort({host, port}: HostPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

const BOOLEANS: Readonly<Record<string, boolean>> = {
  true: true,
  yes: true,
  on: true,
  false: false,
  no: false,
  off: false,
};

/** @returns a duration such as `250ms` or `4s`, in milliseconds */
export function duration(): z.ZodType<number, string> {
  return makeTextSchema(
    text => parseQuantity(text, DURATION_UNITS),
    'a duration with its unit ms, s, m or h, such as 250ms or 4s',
  );
}

/** @returns a size such as `16kB` or `64MB`, in bytes */
export function size(): z.ZodType<number, string> {
  return makeTextSchema(
    text => parseQuantity(text, SIZE_UNITS),
    'a size with its unit B, kB, MB or GB, such as 16kB or 64MB',
  );
}

/** @returns a share such as `20%`, as a fraction */
export function percentage(): z.ZodType<number, string> {
  return makeTextSchema(text => {
    const match = /^(\d+(?:\.\d+)?)%$/.exec(text);
    const value = Number(match?.[1]) / PERCENT;
    return match && value <= 1 ? value : undefined;
  }, 'a percentage from 0% to 100%, such as 20%');
}

/**
 * @param min the least value allowed
 * @param max the greatest value allowed
 * @returns a whole number
 */
export function integer(min: number, max: number): z.ZodType<number, string> {
  return makeTextSchema(text => {
    const value = Number(text);
    const fits = /^-?\d+$/.test(text) && value >= min && value <= max;
    return fits ? value : undefined;
  }, `a whole number from ${min} to ${max}`);
}

/**
 * @param min the least value allowed
 * @param max the greatest value allowed
 * @returns a number with or without a decimal part
 */
export function decimal(min: number, max: number): z.ZodType<number, string> {
  return makeTextSchema(text => {
    const value = Number(text);
    const fits = /^-?\d+(\.\d+)?$/.test(text) && value >= min && value <= max;
    return fits ? value : undefined;
  }, `a number from ${min} to ${max}`);
}

/** @returns `true`, `yes`, `on`, `false`, `no` or `off` */
export function boolean(): z.ZodType<boolean, string> {
  return makeTextSchema(
    text => BOOLEANS[text.toLowerCase()],
    'true or false (also yes, on, no, off)',
  );
}

/** @returns an address such as `10.0.0.7:7400` */
export function hostPort(): z.ZodType<HostPort, string> {
  return makeTextSchema(
    parseHostPort,
    'an address host:port, such as 10.0.0.7:7400',
  );
}

/** @returns a URL of the http scheme, without a slash at its end */
export function httpUrl(): z.ZodType<string, string> {
  return makeTextSchema(text => {
    const match = /^https?:\/\/[^\s/]+(\/\S*)?$/.test(text);
    return match ? text.replace(/\/$/, '') : undefined;
  }, 'a URL such as http://127.0.0.1:8000');
}

/** @returns a name of letters, digits, `.`, `_` and `-` */
export function nameText(): z.ZodType<string, string> {
  return makeTextSchema(
    text => (/^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/.test(text) ? text : undefined),
    'a name of up to 63 letters, digits, dots, dashes and underscores',
  );
}

/** @returns any text that isn't empty, such as a path */
export function filledText(): z.ZodType<string, string> {
  return makeTextSchema(text => text || undefined, 'a text that is not empty');
}

/**
 * @param values the allowed words
 * @returns a schema that accepts one of these words
 */
export function oneOf<Value extends string>(
  ...values: readonly Value[]
): z.ZodType<Value, string> {
  return makeTextSchema(
    text => values.find(value => value === text),
    `one of ${values.join(', ')}`,
  );
}

/**
 * @param item schema of one item
 * @returns a comma-separated list; an empty text is an empty list
 */
export function list<Value>(
  item: z.ZodType<Value, string>,
): z.ZodType<Value[], string> {
  return z
    .string({error: 'is missing; a list separated by commas'})
    .transform(text => {
      const parts = text.split(',').map(part => part.trim());
      return parts.filter(part => part !== '');
    })
    .pipe(z.array(item));
}
