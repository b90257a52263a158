// Writes a bundled program so that each role starts with the code that V8
// compiled from it beforehand: compiling it anew is a third of a start.
//
// V8 believes compiled code without looking: of its source it compares nothing
// but the length, and of the code itself no checksum. Code of another program of
// the same length runs in its place, and of 60 files with one bit turned 4 ended
// the process by a segmentation fault, 9 by a trap and 1 never. So compiled code
// stands under the name of the text that it was made from, appears whole or not
// at all, and is never written again.
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, mkdirSync, renameSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Hexadecimal digits of the text's digest in the files' names. */
const DIGEST_DIGITS = 16;

/** How the program ends when it isn't told its settings file. */
const USAGE_EXIT_CODE = 2;

/** Second argument of a process that leaves its compiled code as it ends. */
const WRITE_CACHE = '--write-cache';

/** What CommonJS puts around a module, part of the text that is compiled. */
const WRAPPER = [
  '(function (exports, require, module, __filename, __dirname) {',
  '\n});',
];

/**
 * The text is read as Latin-1, which V8 takes as it is: from UTF-8, or with a
 * wrapper put around it at the start, each start copies some megabytes.
 *
 * @param {string} program the file name of the program's text
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
 * @returns {string} the text to compile, each character a byte
 */
function wrapText(text) {
  const nonAscii = /\P{ASCII}/u.exec(text);
  if (nonAscii)
    throw new Error(
      `character ${nonAscii[0]} at ${nonAscii.index} is not ASCII`,
    );
  return WRAPPER.join(text);
}

/** Processes that start meanwhile find the old file or the new one, whole. */
function writeAtomically(path, text) {
  const temporaryPath = `${path}.${process.pid}`;
  writeFileSync(temporaryPath, text);
  renameSync(temporaryPath, path);
}

/**
 * @param {object} program
 * @param {string} program.folder where the files go
 * @param {string} program.loader name of the file that starts the program
 * @param {string} program.text the program as one CommonJS module
 * @param {readonly string[]} program.roles first arguments, for each of which
 *     compiled code is kept apart; alone they print the usage and end
 * @param {(args: readonly string[]) => void} [program.rehearse] runs both roles as
 *     in production with the arguments given, by which each leaves its compiled
 *     code as it ends
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
