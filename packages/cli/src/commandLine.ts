/**
 * The `cardamomladder` command line, without the `instance` command, which the
 * binary adds because it depends on the platform. Each command is a thin wrapper
 * around a function in `commands/`. Exit codes: 0 success, 1 failure, 2 bad input
 * (settings, document, arguments), 3 stale document.
 */
import type { CAC } from 'cac';
import { cac } from 'cac';
import { applyCommand, showCommand, validateCommand } from './commands/console';
import { checkCommand } from './commands/check';
import { demoCommand } from './commands/demo';
import { entryCommand } from './commands/entry';
import { explainCommand } from './commands/explain';
import { loadCommand } from './commands/load';
import { platformCommand, targetCommand } from './commands/standin';

const exitWithResult = (work: Promise<number>) => {
  work.then(
    (code) => process.exit(code),
    (error: Error) => {
      console.error(error.message);
      process.exit(1);
    },
  );
};

const addEntryCommand = (cli: CAC): void => {
  cli
    .command('entry', 'Run one entry daemon')
    .option('--settings <file>', 'Settings JSON file (see docs/configuration.md)')
    .action((o: { settings?: string }) => {
      if (!o.settings) {
        console.error(
          '--settings <file> is required: the entry needs its id, failure domain and platform URL',
        );
        process.exit(2);
      }
      exitWithResult(entryCommand(o.settings));
    });
};

const addConsoleCommand = (cli: CAC): void => {
  cli
    .command('console <action> [file]', "Operators' document: validate <file>, apply <file>, show")
    .option('--platform <url>', 'Platform service URL', { default: 'http://127.0.0.1:7400' })
    .option('--key <key>', 'KV key of the document', { default: 'cardamomladder/document' })
    .action((action: string, file: string | undefined, o: { platform: string; key: string }) => {
      if (action === 'show') exitWithResult(showCommand(o.platform, o.key));
      else if ((action === 'validate' || action === 'apply') && file) {
        exitWithResult(
          action === 'validate' ? validateCommand(file) : applyCommand(file, o.platform, o.key),
        );
      } else {
        console.error('usage: console validate <file> | console apply <file> | console show');
        process.exit(2);
      }
    });
};

const addStandinCommand = (cli: CAC): void => {
  cli
    .command(
      'standin <kind>',
      'Run a stand-in: platform (KV and member list) or target (targets of a service)',
    )
    .option('--host <host>', 'Listen address', { default: '127.0.0.1' })
    .option('--port <port>', 'Platform port (0: any)', { default: 7400 })
    .option('--member-lag-ms <ms>', 'Maximum age of the member list', {
      default: 1000,
    })
    .option('--platform <url>', 'Platform URL (target)', { default: 'http://127.0.0.1:7400' })
    .option('--service <name>', 'Service of the targets', { default: 'stada' })
    .option('--region <name>', 'Region of the targets', { default: 'reykjavik' })
    .option('--failure-domain <name>', 'Failure domain of the targets', { default: 'rvk-a' })
    .option('--count <n>', 'Targets to run', { default: 1 })
    .option('--slots <n>', 'Slots per target', { default: 9 })
    .option('--service-ms <ms>', 'Processing time per request', { default: 4 })
    .option('--answer-bytes <n>', 'Response size', { default: 600 })
    .action((kind: string, o: Record<string, string | number>) => {
      if (kind === 'platform') {
        exitWithResult(
          platformCommand({
            host: String(o.host),
            port: Number(o.port),
            memberLagMs: Number(o.memberLagMs),
          }),
        );
      } else if (kind === 'target') {
        exitWithResult(
          targetCommand({
            platform: String(o.platform),
            service: String(o.service),
            region: String(o.region),
            failureDomain: String(o.failureDomain),
            count: Number(o.count),
            slots: Number(o.slots),
            serviceMs: Number(o.serviceMs),
            answerBytes: Number(o.answerBytes),
            host: String(o.host),
          }),
        );
      } else {
        console.error(`unknown stand-in '${kind}'; expected platform or target`);
        process.exit(2);
      }
    });
};

const addLoadCommand = (cli: CAC): void => {
  cli
    .command('load', 'Generate load on running entries')
    .option('--entry <host:port>', 'Any running entry; the others are discovered from it')
    .option('--services <list>', 'Comma-separated services', { default: 'stada' })
    .option(
      '--non-idempotent <list>',
      'Services whose requests are sent at most once, with idempotency keys',
      {
        default: 'boka,gatebook',
      },
    )
    .option('--failure-domain <name>', "Caller's failure domain")
    .option('--concurrency <n>', 'Concurrent callers', { default: 8 })
    .option('--duration-ms <ms>', 'Duration of the load', { default: 5000 })
    .option('--max-requests <n>', 'Stop after this many requests')
    .action((o: Record<string, string | number | undefined>) => {
      if (!o.entry) {
        console.error('--entry <host:port> is required: the address of a running entry');
        process.exit(2);
      }
      exitWithResult(
        loadCommand({
          entry: String(o.entry),
          services: String(o.services),
          nonIdempotent: String(o.nonIdempotent),
          failureDomain: o.failureDomain === undefined ? undefined : String(o.failureDomain),
          concurrency: Number(o.concurrency),
          durationMs: Number(o.durationMs),
          maxRequests: o.maxRequests === undefined ? undefined : Number(o.maxRequests),
        }),
      );
    });
};

const addDemoCommand = (cli: CAC): void => {
  cli
    .command(
      'demo',
      'Run every role and stand-in in one process and print latency, headroom and drain time',
    )
    .option('--layout <name>', 'hraunvidd or waitaha', { default: 'hraunvidd' })
    .option('--duration-ms <ms>', 'Duration of the load', { default: 6000 })
    .option('--concurrency <n>', 'Concurrent callers across all failure domains', { default: 48 })
    .option('--json', 'Print the report as JSON')
    .action((o: { layout: string; durationMs: number; concurrency: number; json?: boolean }) =>
      exitWithResult(
        demoCommand({
          layout: o.layout,
          durationMs: Number(o.durationMs),
          concurrency: Number(o.concurrency),
          json: o.json,
        }),
      ),
    );
};

const addExplainCommand = (cli: CAC): void => {
  cli
    .command(
      'explain <id> [...files]',
      'Explain the outcome of one request from log files or standard input',
    )
    .example('cardamomladder explain 9c41d07be2a35f68 north-1.log north-2.log')
    .action((id: string, files: string[]) => exitWithResult(explainCommand(id, files)));
};

const addCheckCommand = (cli: CAC): void => {
  cli
    .command('check <file>', "Validate an instance's settings file")
    .example('cardamomladder check settings.json')
    .action((file: string) => exitWithResult(checkCommand(file)));
};

/** Creates the command line with all commands except `instance`. */
export const createCommandLine = (): CAC => {
  const cli = cac('cardamomladder');
  [
    addEntryCommand,
    addConsoleCommand,
    addStandinCommand,
    addLoadCommand,
    addDemoCommand,
    addExplainCommand,
    addCheckCommand,
  ].forEach((addCommand) => addCommand(cli));
  cli.help();
  cli.version('0.1.0');
  return cli;
};
