// Bundles a program and its dependencies into one file that `node` runs without
// node_modules. Without arguments it builds the CLI, dist/cardamomladder.cjs,
// which scripts/binary.mjs turns into a single executable; see docs/DESIGN.md,
// "One binary".
//   node scripts/build.mjs [ENTRY OUTFILE]
// White space and syntax are minified, which reduces parsing time at startup by
// a quarter; names are kept so that stack traces stay readable.
import { build } from 'esbuild';

const [entry = 'platform/src/binary.ts', outfile = 'dist/cardamomladder.cjs'] =
  process.argv.slice(2);

await build({
  entryPoints: [entry],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile,
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: 'linked',
  logLevel: 'warning',
});
