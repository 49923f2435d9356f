import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import { importX } from 'eslint-plugin-import-x';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

const MAX_LINES = 350;
const MAX_LINES_PER_FUNCTION = 50;

/** Rules that all packages keep. */
const common = {
  plugins: { 'import-x': importX },
  settings: {
    'import-x/resolver-next': [createTypeScriptImportResolver()],
    'import-x/extensions': ['.ts'],
    'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
  },
  languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
  rules: {
    'import-x/no-cycle': 'error',
    '@typescript-eslint/no-floating-promises': [
      'error',
      { allowForKnownSafeCalls: [{ from: 'package', name: ['test'], package: 'node:test' }] },
    ],
    '@typescript-eslint/no-misused-promises': 'error',
    '@typescript-eslint/no-non-null-assertion': 'error',
    '@typescript-eslint/only-throw-error': 'error',
    eqeqeq: 'error',
  },
};

/** Rules for the sources of all packages. */
const readable = {
  files: ['packages/*/src/**/*.ts'],
  plugins: { jsdoc },
  rules: {
    'max-lines': ['error', { max: MAX_LINES, skipBlankLines: true, skipComments: true }],
    'max-lines-per-function': [
      'error',
      { max: MAX_LINES_PER_FUNCTION, skipBlankLines: true, skipComments: true },
    ],
    'id-length': ['error', { min: 2, properties: 'never', exceptions: ['_', 'a', 'b', 'i', 'n'] }],
    'jsdoc/require-file-overview': [
      'error',
      { tags: { module: { mustExist: true, preventDuplicates: true } } },
    ],
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: true,
        checkConstructors: false,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'TSEnumDeclaration'],
      },
    ],
    'no-restricted-syntax': [
      'error',
      {
        selector: "ThrowStatement > NewExpression[callee.name='Error']",
        message: 'Throw a typed error, such as a subclass of SpurbridgeError.',
      },
    ],
  },
};

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**'] },
  ...tseslint.configs.strict,
  common,
  readable,
);
