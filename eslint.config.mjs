import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/**', 'node_modules/**'] },
  ...tseslint.configs.strict,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', name: ['test'], package: 'node:test' }] },
      ],
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      eqeqeq: 'error',
    },
  },
);
