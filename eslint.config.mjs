import js from '@eslint/js';
import tseslint from 'typescript-eslint';

// Rules of the Google TypeScript Style Guide that a linter can check. Prettier
// formats the code.
export default tseslint.config(
  {ignores: ['dist/', 'target/', 'reports/', 'packages/*/src/generated/']},
  js.configs.recommended,
  ...tseslint.configs.strict,
  ...tseslint.configs.stylistic,
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'inline-type-imports'},
      ],
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['function', 'method', 'parameter'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/no-empty-function': 'off',
      'no-restricted-syntax': [
        'error',
        {selector: 'TSEnumDeclaration', message: 'Use a constant object.'},
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always'],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'max-lines-per-function': [
        'error',
        {max: 60, skipBlankLines: true, skipComments: true},
      ],
      'no-var': 'error',
      'object-shorthand': 'error',
      'one-var': ['error', 'never'],
      'prefer-const': 'error',
      radix: 'error',
    },
  },
  {
    files: ['**/__tests__/**', 'vitest*.config.ts', '**/scenarios/**'],
    rules: {
      'max-lines-per-function': 'off',
      'no-restricted-syntax': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
  {
    // The main entry of undici slows down gateway starts: see http_client.ts.
    files: ['packages/lovagepond-gateway/src/*.ts'],
    rules: {
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {
          name: 'undici',
          allowTypeImports: true,
          message: 'Use http_client.ts.',
        },
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs', '*.mjs'],
    languageOptions: {
      globals: {
        console: 'readonly',
        fetch: 'readonly',
        process: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
      },
    },
  },
);
