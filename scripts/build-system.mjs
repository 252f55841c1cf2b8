// Bundles the entry host for the users' platform into one file: a host starts on a slice of a core.
import {build} from 'esbuild';

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/deckwheel.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	conditions: ['source'],
	minifySyntax: true,
	banner: {js: 'import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);'},
});
