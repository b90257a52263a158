// Writes a bundled program together with a V8 code cache for each role, as
// compiling the program takes a third of its start time.
//
// V8 hardly validates a code cache: it compares only the length of the source
// and no checksum of the code, and would run the cache of another program of
// the same length. Of 60 cache files with one flipped bit, 4 caused a
// segmentation fault, 9 a trap, and 1 a process that never ended. So the name
// of a cache file holds the digest of its source text, and the file is renamed
// into place once it is complete and never overwritten.
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, mkdirSync, renameSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Number of hexadecimal digits of the text's digest in file names. */
const DIGEST_DIGITS = 16;

/** Exit code of the program when it gets no settings file. */
const USAGE_EXIT_CODE = 2;

/** Second argument: the process writes its code cache when it exits. */
const WRITE_CACHE = '--write-cache';

/** The CommonJS module wrapper, which is part of the compiled text. */
const WRAPPER = [
  '(function (exports, require, module, __filename, __dirname) {',
  '\n});',
];

/**
 * The loader reads the text as Latin-1, which V8 uses without a copy. Decoding
 * UTF-8 or adding the wrapper would copy some megabytes at each start.
 *
 * @param {string} program file name of the program's text
 */
function makeLoader(program) {
  return `'use strict';
const {existsSync, readFileSync, renameSync, writeFileSync} = require('node:fs');
const {Script} = require('node:vm');
const filename = __dirname + '/${program}';
const compiled = filename + '.' + process.argv[2] + '.cache';
const cachedData = existsSync(compiled) ? readFileSync(compiled) : undefined;
const source = readFileSync(filename, 'latin1');
const script = new Script(source, {filename, cachedData});
script.runInThisContext()(exports, require, module, filename, __dirname);
if (process.argv[3] === '${WRITE_CACHE}') {
  process.on('exit', () => {
    const unfinished = compiled + '.' + process.pid;
    writeFileSync(unfinished, script.createCachedData());
    renameSync(unfinished, compiled);
  });
}
`;
}

/**
 * @param {string} text a CommonJS module
 * @returns {string} the wrapped ASCII text to compile
 */
function wrapText(text) {
  const nonAscii = /\P{ASCII}/u.exec(text);
  if (nonAscii)
    throw new Error(
      `character ${nonAscii[0]} at ${nonAscii.index} is not ASCII`,
    );
  return WRAPPER.join(text);
}

/** Renames a finished file into place: no process reads a part of it. */
function writeAtomically(path, text) {
  const temporaryPath = `${path}.${process.pid}`;
  writeFileSync(temporaryPath, text);
  renameSync(temporaryPath, path);
}

/**
 * @param {object} program
 * @param {string} program.folder output folder
 * @param {string} program.loader name of the file that starts the program
 * @param {string} program.text the program as one CommonJS module
 * @param {readonly string[]} program.roles first arguments, each with a code
 *     cache of its own; a role without further arguments prints the usage
 * @param {(args: readonly string[]) => void} [program.rehearse] runs both
 *     roles as in production with the given arguments, which make each process
 *     write its code cache when it exits
 */
export function writeProgram({folder, loader, text, roles, rehearse}) {
  mkdirSync(folder, {recursive: true});
  const wrapped = wrapText(text);
  const digest = createHash('sha256').update(wrapped).digest('hex');
  const program = `program-${digest.slice(0, DIGEST_DIGITS)}.cjs`;
  const programPath = join(folder, program);
  if (!existsSync(programPath)) writeAtomically(programPath, wrapped);
  const loaderPath = join(folder, loader);
  writeAtomically(loaderPath, makeLoader(program));
  const isCompiled = role => existsSync(`${programPath}.${role}.cache`);
  if (rehearse && !roles.every(isCompiled)) rehearse([WRITE_CACHE]);
  for (const role of roles) {
    if (!isCompiled(role)) compile([loaderPath, role, WRITE_CACHE]);
  }
}

/** @param {readonly string[]} args */
function compile(args) {
  try {
    execFileSync(process.execPath, args, {stdio: 'ignore', env: {}});
  } catch (err) {
    if (err.status !== USAGE_EXIT_CODE) throw err;
  }
}
