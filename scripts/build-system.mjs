// Bundles the entry host for the users' platform: a host starts on a slice of a core. The main module is a file of its own, which listens for
// signals before the rest is loaded.
import {build} from 'esbuild';

await build({
	entryPoints: {deckwheel: 'platform/src/main.ts'},
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	chunkNames: 'deckwheel-[name]',
	splitting: true,
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	conditions: ['source'],
	minifySyntax: true,
	banner: {js: 'import {createRequire as __createRequire} from "node:module"; const require = __createRequire(import.meta.url);'},
});
