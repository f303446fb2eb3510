// Bundles the CLI and everything it imports into one file,
// dist/cardamomladder.cjs, that plain `node` runs with no node_modules.
// The single-executable step (postject) starts from this file; see
// docs/DESIGN.md, "One binary".
import { build } from 'esbuild';

await build({
  entryPoints: ['packages/cli/src/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  outfile: 'dist/cardamomladder.cjs',
  sourcemap: 'linked',
  logLevel: 'warning',
});
