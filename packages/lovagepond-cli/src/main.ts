/**
 * The one binary: reads the command line and runs a role or a tool.
 */
import 'reflect-metadata';
import {Command} from 'commander';

const VERSION = '0.1.0';

const program = new Command('lovagepond').description(
  'Routes returning chats to the backend server that still holds their context.',
);

program
  .command('version')
  .description('print the version')
  .action(() => {
    process.stdout.write(`${VERSION}\n`);
  });

void program.parseAsync();
