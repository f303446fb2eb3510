/** Runs a command line; what it does not know is refused with what comes nearest. */
import type { CAC } from 'cac';
import { closest } from 'fastest-levenshtein';

/** Exit code for bad input. */
const BAD_INPUT = 2;

const refuse = (message: string): void => {
  console.error(message);
  process.exitCode = BAD_INPUT;
};

const unknownCommand = (cli: CAC, name: string): void => {
  const names = cli.commands.map((command) => command.name);
  refuse(`unknown command '${name}'; did you mean '${closest(name, names)}'? See --help`);
};

/** What is wrong with the arguments, and the option that was perhaps meant. */
const explained = (cli: CAC, message: string): string => {
  const unknown = /`--?([^`]+)`/.exec(message)?.[1];
  const names = (cli.matchedCommand?.options ?? []).map((option) => option.name);
  if (!message.startsWith('Unknown option') || !unknown || names.length === 0) return message;
  return `${message}; did you mean '--${closest(unknown, names)}'? See --help`;
};

/** Parses the arguments and runs their command; a command ends the process itself. */
export const runCommandLine = (cli: CAC, argv: string[] = process.argv): void => {
  try {
    const { args, options } = cli.parse(argv, { run: false });
    if (options.help || options.version) return;
    if (cli.matchedCommand) cli.runMatchedCommand();
    else if (args.length > 0) unknownCommand(cli, args[0]);
    else cli.outputHelp();
  } catch (error) {
    if ((error as Error).name !== 'CACError') throw error;
    refuse(explained(cli, (error as Error).message));
  }
};
