/** Runs a command line; rejects unknown commands and options and suggests the closest known one. */
import type { CAC } from 'cac';
import { closest } from 'fastest-levenshtein';

const BAD_INPUT_EXIT_CODE = 2;

const reportBadInput = (message: string): void => {
  console.error(message);
  process.exitCode = BAD_INPUT_EXIT_CODE;
};

const reportUnknownCommand = (cli: CAC, name: string): void => {
  const names = cli.commands.map((command) => command.name);
  reportBadInput(`unknown command '${name}'; did you mean '${closest(name, names)}'? See --help`);
};

/** Adds the closest known option to cac's message about an unknown option. */
const withSuggestion = (cli: CAC, message: string): string => {
  const unknown = /`--?([^`]+)`/.exec(message)?.[1];
  const names = (cli.matchedCommand?.options ?? []).map((option) => option.name);
  if (!message.startsWith('Unknown option') || !unknown || names.length === 0) return message;
  return `${message}; did you mean '--${closest(unknown, names)}'? See --help`;
};

/** Parses the arguments and runs the command, which exits the process itself. */
export const runCommandLine = (cli: CAC, argv: string[] = process.argv): void => {
  try {
    const { args, options } = cli.parse(argv, { run: false });
    if (options.help || options.version) return;
    if (cli.matchedCommand) cli.runMatchedCommand();
    else if (args.length > 0) reportUnknownCommand(cli, args[0]);
    else cli.outputHelp();
  } catch (error) {
    if ((error as Error).name !== 'CACError') throw error;
    reportBadInput(withSuggestion(cli, (error as Error).message));
  }
};
